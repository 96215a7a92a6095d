//! CPU time of membership on one router's thread by the number of members. Runs one instance whose probes
//! are acked at once and that is probed as often as it probes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use arrowyard_peers::message::{Datagram, FORMAT_VERSION, Kind, decode, encode, hash_name};
use arrowyard_peers::{Action, LocalMember, Membership, MembershipConfig};
use arrowyard_types::{TimeDelta, Timestamp};

fn at(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 7400).into()
}

fn main() {
    println!("| members | us a second on the thread | datagrams in and out a second |\n| --- | --- | --- |");
    for members in [30, 300, 1000] {
        let config =
            MembershipConfig { fleet: "f".to_string(), seeds: vec![at(1)], ..MembershipConfig::default() };
        let fleet_hash = hash_name(&config.fleet);
        let mut now = Timestamp::from_micros(1_000_000);
        let local = LocalMember { name: "n0".into(), address: at(0), incarnation: 1, nonce: 1 };
        let mut membership = Membership::new(now, config, local, members as f64, 7);
        let index_by_address: HashMap<SocketAddr, usize> =
            (1..members).map(|index| (at(index), index)).collect();
        let new_datagram = |index: usize, kind: Kind, seq: u64, now: Timestamp| Datagram {
            version: FORMAT_VERSION,
            min_version: 1,
            fleet_hash,
            from: format!("n{index}"),
            incarnation: 1,
            nonce: index as u64 + 10,
            address: at(index).to_string(),
            kind: kind as i32,
            seq,
            sent_us: now.micros() as u64 + seq % 7,
            ..Datagram::default()
        };
        let (mut elapsed, mut datagrams, mut seconds) = (Duration::ZERO, 0_u64, 0.0);
        let mut next = 1;
        for step in 0..40_000_u64 {
            now = now + TimeDelta::from_millis(10);
            // Each member is probed by three others per period; at the start all members introduce
            // themselves.
            let probes = if step < 2 * members as u64 { 1 } else { u64::from(step % 17 == 0) };
            for _ in 0..probes {
                next = next % (members - 1) + 1;
                let bytes = encode(&new_datagram(next, Kind::Ping, step + 1, now));
                let started = Instant::now();
                membership.receive(now, at(next), &bytes);
                elapsed += started.elapsed();
            }
            let started = Instant::now();
            if membership.next_deadline() <= now {
                membership.tick(now);
            }
            elapsed += started.elapsed();
            for action in std::mem::take(&mut membership.actions) {
                let Action::Send { to, bytes } = action else { continue };
                datagrams += 1;
                let Ok(datagram) = decode(&bytes, 1200, fleet_hash) else { continue };
                let Some(&index) = index_by_address.get(&to).filter(|_| datagram.kind() == Kind::Ping) else {
                    continue;
                };
                let bytes =
                    encode(&new_datagram(index, Kind::Ack, datagram.seq, now + TimeDelta::from_micros(50)));
                datagrams += 1;
                let started = Instant::now();
                membership.receive(now + TimeDelta::from_micros(50), to, &bytes);
                elapsed += started.elapsed();
            }
            membership.events.clear();
            if step == 20_000 {
                (elapsed, datagrams) = (Duration::ZERO, 0);
            }
            seconds = (step.saturating_sub(20_000)) as f64 / 100.0;
        }
        let micros = elapsed.as_secs_f64() * 1e6 / seconds;
        println!("| {} | {micros:.1} | {:.1} |", membership.alive_count() + 1, datagrams as f64 / seconds);
    }
}
