//! How long the module takes for whole lists: the first, the same again, one with a tenth changed, and one by one.
//!
//!     cargo run --release --example lists

use std::time::Instant;

use arrowyard::Router;
use arrowyard_types::*;

fn entry(host: u32) -> HostEntry {
    HostEntry {
        host: HostId(host),
        address_hash: host,
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
        let mut manifest = RouterSettings::new();
        manifest.insert("connect_timeout".to_string(), SettingValue::TimeDelta(TimeDelta::from_millis(250)));
        let now = Timestamp::from_micros(1_000_000_000_000);
        let mut actions = Vec::new();
        let mut router = Router::start(now, 1, manifest, &mut actions);
        let all = || (0..hosts).map(entry).collect::<Vec<_>>();
        let mut changed = all();
        changed.iter_mut().step_by(10).for_each(|one| one.size = 2.0);
        let some: Vec<HostEntry> = (0..hosts).step_by(100).map(entry).collect();
        let lists = [
            (ListKind::Full, all()),
            (ListKind::Full, all()),
            (ListKind::Full, changed),
            (ListKind::Incremental, some),
        ];
        let took = lists.map(|(form, entries)| {
            let began = Instant::now();
            router.handle(now, RouterEvent::HostList { kind: form, entries }, &mut actions);
            began.elapsed().as_secs_f64() * 1e3
        });
        println!("| {hosts} | {:.2} | {:.2} | {:.2} | {:.2} |", took[0], took[1], took[2], took[3]);
    }
}
