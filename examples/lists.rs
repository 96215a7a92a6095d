//! Measures how long the router takes for host lists: a first full list, the same again, one with a tenth of
//! the hosts changed, and an incremental list of every 100th host.
//!
//!     cargo run --release --example lists

use std::time::Instant;

use arrowyard::Router;
use arrowyard_types::*;

fn entry(host: u32) -> HostEntry {
    HostEntry {
        host: HostId(host),
        name_hash: host,
        availability: Availability::Ready,
        memberships: [GroupMembership { group: GroupId(i64::from(host / 3)), primary_only: false }].into(),
        zone: ZoneId(0),
        size: 1.0,
        is_primary: host.is_multiple_of(3),
        started_at: None,
    }
}

fn main() {
    println!("| hosts | first list ms | the same again | a tenth changed | 1 in 100 as changes |");
    println!("| --- | --- | --- | --- | --- |");
    for hosts in [100, 1_000, 10_000_u32] {
        let mut settings = RouterSettings::new();
        settings.insert("connect_timeout".to_string(), SettingValue::TimeDelta(TimeDelta::from_millis(250)));
        let now = Timestamp::from_micros(1_000_000_000_000);
        let mut actions = Vec::new();
        let mut router = Router::start(now, 1, settings, &mut actions);
        let all = || (0..hosts).map(entry).collect::<Vec<_>>();
        let mut changed = all();
        changed.iter_mut().step_by(10).for_each(|entry| entry.size = 2.0);
        let hundredth: Vec<HostEntry> = (0..hosts).step_by(100).map(entry).collect();
        let lists = [
            (ListKind::Full, all()),
            (ListKind::Full, all()),
            (ListKind::Full, changed),
            (ListKind::Incremental, hundredth),
        ];
        let millis = lists.map(|(kind, entries)| {
            let start = Instant::now();
            router.handle(now, RouterEvent::HostList { kind, entries }, &mut actions);
            start.elapsed().as_secs_f64() * 1e3
        });
        println!("| {hosts} | {:.2} | {:.2} | {:.2} | {:.2} |", millis[0], millis[1], millis[2], millis[3]);
    }
}
