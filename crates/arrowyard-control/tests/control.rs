//! Cells that hear of hosts in whatever order, views that age, duties that fall vacant, changes of primary.

use std::collections::BTreeMap;

use arrowyard_control::{
    AppliedState, DiskHealth, DutyElection, HostRegistry, HostsSnapshot, PeerView, Promotion,
    PromotionRequest, Reply, RowKind, Stage,
};
use arrowyard_messages::{DbRole, Duty, Entry, EntryPayload, Host, KnownControl, Phase};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn host(id: &str, role: DbRole, phase: Phase, call_seq: u64) -> Host {
    let port = u32::from(id.as_bytes().last().copied().unwrap_or_default());
    let (role, phase) = (role.into(), phase.into());
    Host {
        id: id.into(),
        service: "s".into(),
        ip: 1,
        port,
        zone: "z".into(),
        capacity: 4,
        phase,
        role,
        call_seq,
    }
}

#[test]
fn cells_that_hear_the_same_in_any_order_know_the_same() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let mut words: Vec<Host> = (1..12)
            .map(|seq| {
                let role = if rng.bool() { DbRole::Primary } else { DbRole::Replica };
                let phase = [Phase::InService, Phase::InService, Phase::Draining][rng.usize(0..3)];
                host(["a", "b", "c"][rng.usize(0..3)], role, phase, seq)
            })
            .collect();
        if rng.bool() {
            words.push(host("b", DbRole::Replica, Phase::Gone, 3));
        }
        let heard = |words: &[Host]| {
            let mut cell = HostRegistry::default();
            words.iter().for_each(|word| _ = cell.merge_report(at(0), word.clone()));
            (cell.digest(), cell.hosts().cloned().collect::<Vec<_>>())
        };
        let first = heard(&words);
        rng.shuffle(&mut words);
        let again = heard(&words);
        assert_eq!(first.0, again.0, "seed {seed}");
        let phases = |hosts: &[Host]| {
            hosts.iter().map(|host| (host.id.clone(), host.phase, host.role)).collect::<Vec<_>>()
        };
        assert_eq!(phases(&first.1).len(), phases(&again.1).len());
    }
}

#[test]
fn a_late_call_changes_nothing_and_a_host_that_left_stays_gone() {
    let mut cell = HostRegistry::default();
    assert!(cell.record_heartbeat(at(0), host("a", DbRole::Primary, Phase::InService, 5)));
    assert!(!cell.record_heartbeat(at(1), host("a", DbRole::Replica, Phase::InService, 4)));
    assert_eq!(cell.primary("s").map(|host| host.id.as_str()), Some("a"));
    // A host that counts anew after a long silence is heard again.
    assert!(cell.record_heartbeat(at(9000), host("a", DbRole::Replica, Phase::InService, 1)));
    assert!(cell.record_heartbeat(at(9001), host("a", DbRole::Replica, Phase::Gone, 2)));
    assert!(!cell.record_heartbeat(at(9002), host("a", DbRole::Primary, Phase::InService, 9)));
    assert_eq!(cell.members("s").count(), 0);
    cell.remove_expired(at(9_000_000));
    assert_eq!(cell.hosts().count(), 0);
}

#[test]
fn views_shuffled_between_neighbours_know_who_is_up_and_forget_who_is_gone() {
    let (machines, mut rng) = (40_u32, Rng::with_seed(3));
    let mut views: Vec<PeerView> = (0..machines).map(|_| PeerView::default()).collect();
    for (me, view) in views.iter_mut().enumerate() {
        (1..4).for_each(|step| view.record_contact((me as u32 + step) % machines, "z"));
    }
    let gone = 7;
    for round in 0..200 {
        for me in (0..machines).filter(|&me| me != gone || round < 20) {
            let known: Vec<KnownControl> = views[me as usize]
                .machines()
                .filter(|known| known.ip != gone || round < 20)
                .cloned()
                .collect();
            if let Some(other) = rng.choice(known) {
                let (mine, theirs) =
                    (views[me as usize].sample(&mut rng), views[other.ip as usize].sample(&mut rng));
                views[other.ip as usize].merge(&mine, other.ip);
                views[other.ip as usize].record_contact(me, "z");
                views[me as usize].merge(&theirs, me);
                views[me as usize].record_contact(other.ip, "z");
            }
            views[me as usize].increment_ages();
        }
    }
    for (me, view) in views.iter().enumerate().filter(|(me, _)| *me != gone as usize) {
        assert!(view.machines().count() >= 6, "{me} knows only {}", view.machines().count());
        assert!(view.machines().all(|known| known.ip != gone), "{me} still knows the machine that is gone");
    }
}

#[test]
fn a_vacant_duty_is_asked_for_once_its_holder_is_silent_or_lives_anew() {
    let (mut applied, mut rng) = (AppliedState::default(), Rng::with_seed(1));
    let mut duties = DutyElection::new("promote", 1, 11, "one", at(0));
    let first = (0..400)
        .find_map(|ms| duties.poll_candidacy(at(ms), &applied, &mut rng))
        .expect("it is vacant at first");
    applied.apply(&first);
    assert_eq!(duties.held_fence(&applied), Some(1));
    let other = Duty { duty: "promote".into(), holder: 2, incarnation: 22, node: "two".into(), fence: 1 };
    applied.apply(&Entry { payload: Some(EntryPayload::Duty(other)) });
    assert_eq!(duties.held_fence(&applied), None);
    assert!((500..4000).all(|ms| {
        duties.record_contact(at(ms), 2, 22, &applied);
        duties.poll_candidacy(at(ms), &applied, &mut rng).is_none()
    }));
    // The holder started again: its earlier life holds nothing any more.
    let again = (4000..9000).find_map(|ms| {
        duties.record_contact(at(ms), 2, 23, &applied);
        duties.poll_candidacy(at(ms), &applied, &mut rng)
    });
    assert!(matches!(
        again.and_then(|entry| entry.payload),
        Some(EntryPayload::Duty(Duty { holder: 1, fence: 2, .. }))
    ));
}

/// A way between two machines that is cut is no vacancy, as long as others hear of the holder; but a holder that has started

/// again holds nothing, however well it is heard.
#[test]
fn a_holder_that_others_hear_of_keeps_its_duty_unless_it_has_started_again() {
    let (mut applied, mut rng) = (AppliedState::default(), Rng::with_seed(1));
    let duty = Duty { duty: "promote".into(), holder: 2, incarnation: 22, node: "two".into(), fence: 0 };
    applied.apply(&Entry { payload: Some(EntryPayload::Duty(duty)) });
    let mut vacant_at = |incarnation: Option<u64>| {
        let mut duties = DutyElection::new("promote", 1, 11, "one", at(0));
        (0..9000).step_by(500).find(|ms| {
            duties.record_indirect_contact(at(*ms - 1250), &[2, 3], |_| incarnation, &applied);
            duties.poll_candidacy(at(*ms), &applied, &mut rng).is_some()
        })
    };
    assert_eq!(vacant_at(Some(22)), None);
    assert_eq!(vacant_at(None), None, "nothing is known of its life here");
    assert!(vacant_at(Some(23)).is_some_and(|ms| (2000..=2500).contains(&ms)));
}

struct Scene {
    cell: HostRegistry,
    silent: BTreeMap<String, Timestamp>,
    promotion: Promotion,
    asks: Vec<PromotionRequest>,
    now: i64,
}

impl Scene {
    fn new() -> Self {
        let mut cell = HostRegistry::default();
        cell.merge_report(at(0), host("a", DbRole::Primary, Phase::InService, 1));
        cell.merge_report(at(0), host("b", DbRole::Replica, Phase::InService, 1));
        cell.merge_report(at(0), host("c", DbRole::Replica, Phase::InService, 1));
        Scene { cell, silent: BTreeMap::new(), promotion: Promotion::new("s"), asks: Vec::new(), now: 1000 }
    }

    /// A planned change was given up, since its candidate does not answer; the other replica has stopped receiving.
    fn with_a_change_given_up() -> Self {
        let mut scene = Scene::new();
        scene.cell.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
        scene.pass(0);
        scene.row("b", false, 20);
        scene.row("c", false, 22);
        scene.row("b", false, 24);
        scene.silent("c");
        scene
    }

    fn sight(
        &mut self,
        act: impl FnOnce(&mut Promotion, Timestamp, &HostsSnapshot<'_>, &mut Vec<PromotionRequest>),
    ) -> Vec<PromotionRequest> {
        let sight = HostsSnapshot { registry: &self.cell, silent: &self.silent, departed: &[] };
        let mut asks = Vec::new();
        act(&mut self.promotion, at(self.now), &sight, &mut asks);
        self.asks.extend(asks.clone());
        asks
    }

    fn suspect(&mut self) -> Vec<PromotionRequest> {
        self.sight(|promotion, now, sight, asks| promotion.suspect_primary(now, "a", sight, asks))
    }

    fn pass(&mut self, ms: i64) -> Vec<PromotionRequest> {
        self.now += ms;
        self.sight(|promotion, now, sight, asks| promotion.poll(now, sight, asks))
    }

    fn row(&mut self, host: &str, primary: bool, number: u64) -> Vec<PromotionRequest> {
        let row = Observed { primary, term: 3, received: Position { term: 3, number } };
        let fencing = matches!(self.promotion.stage, Stage::Fencing { .. });
        let kind = if fencing { RowKind::Pause(1) } else { RowKind::Observe };
        let reply = Reply::Row { host: host.into(), kind, row };
        let mut asks =
            self.sight(|promotion, now, sight, asks| promotion.handle_reply(now, reply, sight, asks));
        if matches!(self.promotion.stage, Stage::Yielding { .. }) {
            assert!(promoted(&asks).is_none(), "the old primary is to yield first");
            asks.extend(self.pass(40));
        }
        asks
    }

    fn silent(&mut self, host: &str) -> Vec<PromotionRequest> {
        let reply = Reply::Silent { host: host.into() };
        self.sight(|promotion, now, sight, asks| promotion.handle_reply(now, reply, sight, asks))
    }

    fn status(&mut self, status: u16) -> Vec<PromotionRequest> {
        self.sight(|promotion, now, sight, asks| {
            promotion.handle_reply(now, Reply::Platform { status }, sight, asks)
        })
    }

    /// The primary does not answer, twice: candidates are asked.
    fn fall(&mut self) {
        self.suspect();
        self.silent("a");
        self.pass(100);
        self.silent("a");
        assert!(matches!(self.promotion.stage, Stage::Surveying { planned: false, .. }));
    }
}

fn promoted(asks: &[PromotionRequest]) -> Option<&str> {
    asks.iter().find_map(|ask| match ask {
        PromotionRequest::Promote { host, .. } => Some(host.as_str()),
        _ => None,
    })
}

#[test]
fn a_primary_that_answers_stays() {
    let mut scene = Scene::new();
    assert_eq!(scene.suspect(), [PromotionRequest::Observe { host: "a".into() }]);
    scene.silent("a");
    assert_eq!(scene.pass(100), [PromotionRequest::Observe { host: "a".into() }]);
    scene.row("a", true, 9);
    assert_eq!(scene.promotion.stage, Stage::Idle);
    assert!(scene.suspect().is_empty(), "it was asked a moment ago");
}

#[test]
fn the_replica_that_has_most_leads_once_all_have_stopped_receiving() {
    let mut scene = Scene::new();
    scene.fall();
    assert!(promoted(&scene.row("b", false, 20)).is_none(), "the other one may have more");
    let asks = scene.row("c", false, 10);
    let paused: Vec<PromotionRequest> = ["b", "c"]
        .iter()
        .map(|host| PromotionRequest::Pause { host: host.to_string(), term: 4, attempt: 1 })
        .collect();
    assert_eq!(asks, paused);
    // Meanwhile the other one received more.
    assert!(promoted(&scene.row("b", false, 20)).is_none());
    assert_eq!(promoted(&scene.row("c", false, 25)), Some("c"));
}

/// A primary that yields was alive: hosts that joined it lately are waited for, and surveyed if there are any.
#[test]
fn hosts_that_joined_a_primary_that_yields_are_surveyed_as_well() {
    for joins in [false, true] {
        let mut scene = Scene::new();
        scene.fall();
        ["b", "c", "b"].iter().for_each(|host| _ = scene.row(host, false, 20));
        let row = Observed { primary: false, term: 3, received: Position { term: 3, number: 20 } };
        let last = Reply::Row { host: "c".into(), kind: RowKind::Pause(1), row };
        scene.sight(|promotion, now, sight, asks| promotion.handle_reply(now, last, sight, asks));
        assert_eq!(scene.promotion.replacement().map(|change| change.term), Some(4), "routers are told");
        scene.sight(|promotion, now, sight, asks| promotion.handle_reply(now, Reply::Yielded, sight, asks));
        assert!(scene.pass(40).is_empty(), "whoever joined has not called yet");
        if joins {
            scene.cell.merge_report(at(scene.now), host("d", DbRole::Replica, Phase::InService, 1));
        }
        let asks = scene.pass(500);
        assert_eq!(promoted(&asks).is_some(), !joins);
        assert_eq!(matches!(scene.promotion.stage, Stage::Surveying { planned: false, .. }), joins);
    }
}

/// The old primary yielded, and whoever was to take over was lost with the holder of the duty.
#[test]
fn a_service_without_a_primary_gets_one() {
    let mut scene = Scene::new();
    scene.cell.merge_report(at(0), host("a", DbRole::Replica, Phase::InService, 2));
    assert!(scene.pass(100).is_empty() && scene.pass(2900).is_empty(), "one may be about to call");
    assert_eq!(scene.pass(200).len(), 3, "all are asked");
    ["a", "b", "c", "a", "b"].iter().for_each(|host| _ = scene.row(host, false, 20));
    assert!(promoted(&scene.row("c", false, 21)).is_some());
}

/// Who led says itself that it does so no more: nobody else can be about to call as primary, but for a change that an

/// earlier owner of the duty began.
#[test]
fn a_service_whose_primary_was_deposed_gets_one_sooner() {
    let mut scene = Scene::new();
    assert!(scene.pass(100).is_empty());
    scene.cell.merge_report(at(0), host("a", DbRole::Replica, Phase::InService, 2));
    assert!(scene.pass(100).is_empty() && scene.pass(1900).is_empty());
    assert_eq!(scene.pass(200).len(), 3, "all are asked");
}

#[test]
fn a_replica_that_cannot_be_asked_may_hold_the_only_copy() {
    let mut scene = Scene::new();
    scene.fall();
    scene.row("b", false, 20);
    for _ in 0..50 {
        scene.silent("c");
        scene.pass(200);
    }
    assert!(promoted(&scene.asks).is_none(), "nobody may lead without its word");
    // However long it was silent before the primary was: while it lived it may have been the only one that received.
    scene.silent = BTreeMap::from([("c".to_string(), at(100)), ("a".to_string(), at(100 + 600_000))]);
    for _ in 0..50 {
        scene.silent("c");
        scene.row("b", false, 21);
        scene.pass(200);
    }
    assert!(promoted(&scene.asks).is_none());
    scene.row("c", false, 19);
    [("b", 21), ("c", 19)].iter().for_each(|(host, number)| _ = scene.row(host, false, *number));
    assert_eq!(promoted(&scene.asks), Some("b"));
}

#[test]
fn a_silent_replica_is_not_waited_for_once_another_has_what_the_primary_had_since() {
    for (received, leads) in [(49, None), (50, Some("b"))] {
        let mut scene = Scene::new();
        scene.silent = BTreeMap::from([("c".to_string(), at(900))]);
        assert_eq!(
            scene.pass(100),
            [PromotionRequest::Observe { host: "a".into() }],
            "what has the primary?"
        );
        assert!(scene.pass(10).is_empty(), "one question at a time");
        scene.row("a", true, 50);
        assert!(scene.pass(5000).is_empty(), "once for each silence");
        scene.fall();
        scene.row("b", false, received);
        assert!(
            promoted(&scene.row("b", false, received)).is_none(),
            "it may be back and not have called yet"
        );
        scene.silent("c");
        assert_eq!(promoted(&scene.row("b", false, received)), leads, "{received} of 50");
    }
}

/// Also where it came back and fell silent while another change was under way.
#[test]
fn what_the_primary_had_holds_for_one_silence() {
    let mut scene = Scene::new();
    let silent = BTreeMap::from([("c".to_string(), at(900))]);
    scene.silent = silent.clone();
    scene.pass(100);
    scene.row("a", true, 50);
    scene.fall();
    scene.silent.clear();
    scene.pass(250);
    scene.silent = silent;
    scene.silent("c");
    scene.row("b", false, 60);
    scene.silent("c");
    assert!(
        matches!(scene.promotion.stage, Stage::Surveying { .. }),
        "it may have acknowledged more meanwhile"
    );
}

#[test]
fn an_answer_to_an_earlier_question_is_no_word_that_a_replica_stopped() {
    let mut scene = Scene::new();
    scene.fall();
    scene.row("b", false, 20);
    scene.row("c", false, 20);
    assert!(matches!(scene.promotion.stage, Stage::Fencing { .. }));
    let late = Observed { primary: false, term: 3, received: Position { term: 3, number: 20 } };
    for host in ["b", "c"] {
        let reply = Reply::Row { host: host.into(), kind: RowKind::Observe, row: late };
        scene.sight(|promotion, now, sight, asks| promotion.handle_reply(now, reply, sight, asks));
    }
    assert!(promoted(&scene.asks).is_none());
}

#[test]
fn replicas_that_were_held_are_asked_to_go_on_until_they_say_so() {
    let mut scene = Scene::with_a_change_given_up();
    assert_eq!(scene.promotion.stage, Stage::Idle, "its candidate does not answer");
    let on = PromotionRequest::Continue { host: "b".into() };
    assert_eq!(scene.asks.last(), Some(&on));
    scene.cell.merge_report(at(900), host("a", DbRole::Primary, Phase::InService, 3));
    scene.pass(0);
    assert_eq!(scene.pass(1000), [on], "the question was lost");
    let row = Observed { primary: false, term: 3, received: Position { term: 3, number: 24 } };
    let reply = Reply::Row { host: "b".into(), kind: RowKind::Continue, row };
    scene.sight(|promotion, now, sight, asks| promotion.handle_reply(now, reply, sight, asks));
    assert!(scene.pass(1000).is_empty() && scene.pass(9000).is_empty());
}

/// A router may bring a question to stop after the host has said that it goes on.
#[test]
fn a_replica_goes_on_for_sure_once_no_question_to_stop_is_under_way() {
    let mut scene = Scene::with_a_change_given_up();
    scene.cell.merge_report(at(900), host("a", DbRole::Primary, Phase::InService, 3));
    let on = PromotionRequest::Continue { host: "b".into() };
    let row = Observed { primary: false, term: 3, received: Position { term: 3, number: 24 } };
    let reply = Reply::Row { host: "b".into(), kind: RowKind::Continue, row };
    scene.pass(500);
    scene.sight(|promotion, now, sight, asks| promotion.handle_reply(now, reply.clone(), sight, asks));
    assert_eq!(scene.pass(1000), [on], "its answer came within a second of the question to stop");
    scene.sight(|promotion, now, sight, asks| promotion.handle_reply(now, reply, sight, asks));
    assert!(scene.pass(1000).is_empty() && scene.pass(9000).is_empty());
}

#[test]
fn a_primary_that_leaves_serves_until_its_heir_has_all() {
    let mut scene = Scene::new();
    scene.cell.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    scene.pass(0);
    assert!(matches!(scene.promotion.stage, Stage::Surveying { planned: true, .. }));
    scene.row("b", false, 20);
    let asks = scene.row("c", false, 22);
    assert_eq!(
        asks,
        [PromotionRequest::Pause { host: "b".into(), term: 4, attempt: 1 }],
        "the candidate goes on receiving"
    );
    let asks = scene.row("b", false, 24);
    assert_eq!(asks, [PromotionRequest::Observe { host: "a".into() }]);
    assert_eq!(scene.row("a", true, 26), [PromotionRequest::Observe { host: "c".into() }]);
    assert!(promoted(&scene.row("c", false, 23)).is_none(), "it lacks one that was acknowledged");
    scene.pass(50);
    assert!(promoted(&scene.row("c", false, 24)).is_none(), "it lacks what the old primary holds back");
    scene.pass(50);
    assert_eq!(promoted(&scene.row("c", false, 26)), Some("c"));
}

/// What the old primary has must be known: a candidate that receives nothing has all that the others have.
#[test]
fn a_primary_that_leaves_is_not_replaced_by_one_that_receives_nothing_from_it() {
    for silent in [false, true] {
        let mut scene = Scene::new();
        scene.cell.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
        scene.pass(0);
        ["b", "c", "b"].iter().for_each(|host| _ = scene.row(host, false, 20));
        assert!(promoted(&scene.row("c", false, 20)).is_none(), "the old primary was not heard");
        if silent {
            scene.silent("a");
        } else {
            scene.row("a", true, 21);
            for _ in 0..20 {
                scene.row("c", false, 20);
                scene.pass(80);
            }
        }
        assert!(promoted(&scene.asks).is_none());
        assert!(
            scene.asks.contains(&PromotionRequest::Continue { host: "b".into() }),
            "it is not held for good"
        );
    }
}

#[test]
fn another_primary_ends_a_change_in_order_and_the_one_that_leaves_does_not() {
    let mut scene = Scene::new();
    scene.cell.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    scene.pass(0);
    scene.row("a", true, 30);
    assert!(matches!(scene.promotion.stage, Stage::Surveying { planned: true, .. }), "a question of before");
    scene.row("b", true, 20);
    assert_eq!(scene.promotion.stage, Stage::Idle, "it leads already, and its call is late");
}

#[test]
fn a_call_to_the_platform_without_an_answer_names_the_same_host_again() {
    let mut scene = Scene::new();
    scene.fall();
    for host in ["b", "c", "b", "c"] {
        scene.row(host, false, 20);
    }
    assert!(promoted(&scene.asks).is_some());
    let candidate = promoted(&scene.asks).map(str::to_string);
    scene.status(0);
    let again = scene.pass(2000);
    assert_eq!(promoted(&again).map(str::to_string), candidate);
    scene.status(503);
    assert_eq!(promoted(&scene.pass(2000)).map(str::to_string), candidate);
    // A refusal means that something is not as it was thought to be: all are asked again.
    scene.status(409);
    assert!(matches!(scene.promotion.stage, Stage::Surveying { .. }));
}

#[test]
fn it_is_over_once_the_heir_says_that_it_leads() {
    let mut scene = Scene::new();
    scene.fall();
    for host in ["b", "c", "b", "c"] {
        scene.row(host, false, 20);
    }
    let candidate = promoted(&scene.asks).expect("one was named").to_string();
    scene.status(200);
    scene.pass(300);
    assert!(matches!(scene.promotion.stage, Stage::Confirming { .. }));
    scene.cell.merge_report(at(scene.now), host(&candidate, DbRole::Primary, Phase::InService, 7));
    scene.pass(300);
    assert_eq!(scene.promotion.stage, Stage::Idle);
    assert!(scene.pass(TimeDelta::from_millis(60_000).micros() / 1000).is_empty());
}

#[test]
fn a_disk_that_refuses_or_hangs_is_not_well_until_it_takes_records_again() {
    let mut disk = DiskHealth::default();
    assert!(disk.is_healthy(at(0)));
    disk.write_started(at(0), 1);
    disk.write_started(at(500), 2);
    assert!(disk.is_healthy(at(799)));
    assert!(!disk.is_healthy(at(800)), "the first record hangs");
    disk.write_completed(1);
    assert!(disk.is_healthy(at(900)));
    disk.set_working(false);
    disk.write_completed(2);
    assert!(!disk.is_healthy(at(901)), "it refuses");
    disk.set_working(true);
    assert!(disk.is_healthy(at(902)));
}
