//! What membership costs one router's thread, by the number of members: one instance, whose questions are answered at once and
//! who is asked as often as it asks. (Many instances in one process share its caches, and cost more than each would alone.)

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use arrowyard_peers::message::{Datagram, FORMAT_VERSION, Kind, decode, encode, hash_name};
use arrowyard_peers::{Action, LocalMember, Membership, MembershipConfig};
use arrowyard_types::{TimeDelta, Timestamp};

fn at(of: usize) -> SocketAddr {
    ([10, 0, (of >> 8) as u8, of as u8], 7400).into()
}

fn main() {
    println!("| members | us a second on the thread | datagrams in and out a second |\n| --- | --- | --- |");
    for members in [30, 300, 1000] {
        let terms =
            MembershipConfig { fleet: "f".to_string(), seeds: vec![at(1)], ..MembershipConfig::default() };
        let of = hash_name(&terms.fleet);
        let mut now = Timestamp::from_micros(1_000_000);
        let me = LocalMember { name: "n0".into(), address: at(0), incarnation: 1, nonce: 1 };
        let mut fleet = Membership::new(now, terms, me, members as f64, 7);
        let whom: HashMap<SocketAddr, usize> = (1..members).map(|one| (at(one), one)).collect();
        let head = |one: usize, kind: Kind, seq: u64, now: Timestamp| Datagram {
            version: FORMAT_VERSION,
            min_version: 1,
            fleet_hash: of,
            from: format!("n{one}"),
            incarnation: 1,
            nonce: one as u64 + 10,
            address: at(one).to_string(),
            kind: kind as i32,
            seq,
            sent_us: now.micros() as u64 + seq % 7,
            ..Datagram::default()
        };
        let (mut spent, mut datagrams, mut seconds) = (Duration::ZERO, 0_u64, 0.0);
        let mut next = 1;
        for step in 0..40_000_u64 {
            now = now + TimeDelta::from_millis(10);
            // Each member is asked by three a period; and from the start on all make themselves known.
            let asks = if step < 2 * members as u64 { 1 } else { u64::from(step % 17 == 0) };
            for _ in 0..asks {
                next = next % (members - 1) + 1;
                let bytes = encode(&head(next, Kind::Ping, step + 1, now));
                let began = Instant::now();
                fleet.receive(now, at(next), &bytes);
                spent += began.elapsed();
            }
            let began = Instant::now();
            if fleet.next_deadline() <= now {
                fleet.tick(now);
            }
            spent += began.elapsed();
            for deed in std::mem::take(&mut fleet.actions) {
                let Action::Send { to, bytes } = deed else { continue };
                datagrams += 1;
                let Ok(told) = decode(&bytes, 1200, of) else { continue };
                let Some(&one) = whom.get(&to).filter(|_| told.kind() == Kind::Ping) else { continue };
                let bytes = encode(&head(one, Kind::Ack, told.seq, now + TimeDelta::from_micros(50)));
                datagrams += 1;
                let began = Instant::now();
                fleet.receive(now + TimeDelta::from_micros(50), to, &bytes);
                spent += began.elapsed();
            }
            fleet.events.clear();
            if step == 20_000 {
                (spent, datagrams) = (Duration::ZERO, 0);
            }
            seconds = (step.saturating_sub(20_000)) as f64 / 100.0;
        }
        let us = spent.as_secs_f64() * 1e6 / seconds;
        println!("| {} | {us:.1} | {:.1} |", fleet.alive_count() + 1, datagrams as f64 / seconds);
    }
}
