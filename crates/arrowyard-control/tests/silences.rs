//! Tests of silent hosts and of the floors that a duty holder publishes.

use arrowyard_control::{HostRegistry, PublishedFloors, Silences};
use arrowyard_messages::{DbRole, Host, Phase, ReplicaFloor, ReplicaFloors};
use arrowyard_types::Timestamp;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn floor(host: &str, number: u64, last_call: u64) -> ReplicaFloor {
    ReplicaFloor { host: host.into(), received_term: 3, received_number: number, last_call }
}

fn valid_hosts(floors: &PublishedFloors, silences: &Silences) -> Vec<String> {
    floors.valid(silences).map(|(host, _)| host.to_string()).collect()
}

/// Guards against lost commits (LOST): a replica is back between two silences and acknowledges more than a floor of the
/// first one covers, also where a holder of the duty that was frozen publishes it later.
#[test]
fn a_published_floor_is_valid_for_one_silence() {
    let (mut floors, mut silences) = (PublishedFloors::default(), Silences::default());
    let message = ReplicaFloors { fence: 4, floors: vec![floor("b", 20, 7)], whole: false };
    floors.update(message.clone());
    assert!(valid_hosts(&floors, &silences).is_empty(), "its silence is not known here");
    silences.report("b", at(100), 2);
    assert_eq!(
        valid_hosts(&floors, &silences),
        ["b"],
        "this machine has restarted and knows an earlier call"
    );
    silences.report("b", at(100), 7);
    assert_eq!(valid_hosts(&floors, &silences), ["b"]);
    assert!(silences.is_ended_by("b", 8) && !silences.is_ended_by("b", 7));
    assert!(silences.end("b") && !silences.end("b"));
    silences.report("b", at(9000), 12);
    assert!(valid_hosts(&floors, &silences).is_empty());
    floors.update(message);
    assert!(valid_hosts(&floors, &silences).is_empty());
}

/// A machine that has heard the host earlier than another one reports an earlier call of it.
#[test]
fn the_last_call_of_a_silence_is_the_latest_that_any_machine_received() {
    let mut silences = Silences::default();
    silences.report("b", at(100), 3);
    silences.report("b", at(50), 7);
    silences.report("b", at(200), 3);
    assert_eq!(silences.last_call("b"), Some(7));
    assert_eq!(silences.since()["b"], at(100));
}

#[test]
fn only_the_newest_holder_of_the_duty_replaces_published_floors() {
    let (mut floors, mut silences) = (PublishedFloors::default(), Silences::default());
    for host in ["b", "c", "d"] {
        silences.report(host, at(0), 7);
    }
    floors.update(ReplicaFloors { fence: 4, floors: vec![floor("b", 20, 7)], whole: false });
    floors.update(ReplicaFloors { fence: 4, floors: vec![floor("c", 20, 7)], whole: false });
    assert_eq!(valid_hosts(&floors, &silences), ["b", "c"]);
    floors.update(ReplicaFloors { fence: 3, floors: vec![floor("d", 20, 7)], whole: true });
    assert_eq!(valid_hosts(&floors, &silences), ["b", "c"], "an earlier holder");
    floors.update(ReplicaFloors { fence: 4, floors: vec![floor("c", 20, 7)], whole: true });
    assert_eq!(valid_hosts(&floors, &silences), ["c"]);
    floors.update(ReplicaFloors { fence: 5, floors: vec![floor("d", 20, 7)], whole: false });
    assert_eq!(valid_hosts(&floors, &silences), ["d"]);
}

#[test]
fn a_holder_publishes_each_floor_once_under_its_fence() {
    let mut floors = PublishedFloors::default();
    floors.update(ReplicaFloors { fence: 4, floors: vec![floor("b", 20, 7)], whole: true });
    assert_eq!(floors.take_unpublished(5, vec![floor("b", 20, 7)]), [floor("b", 20, 7)], "a new holder");
    assert_eq!(floors.take_unpublished(5, vec![floor("b", 20, 7)]), []);
    let raised = vec![floor("b", 20, 9), floor("c", 21, 2)];
    assert_eq!(floors.take_unpublished(5, raised.clone()), raised);
    assert_eq!(floors.take_unpublished(5, vec![floor("c", 21, 2)]), []);
    assert_eq!(floors.all(), [floor("c", 21, 2)]);
}

/// Guards against a failure that no machine notices (RECOVER): a host fails together with the control machine that
/// received its heartbeats.
#[test]
fn heartbeats_of_a_lost_control_machine_are_expected() {
    let host = Host {
        id: "a".into(),
        service: "s".into(),
        call_seq: 4,
        role: DbRole::Primary.into(),
        phase: Phase::InService.into(),
        ..Host::default()
    };
    let mut registry = HostRegistry::default();
    registry.merge_report(at(0), host.clone());
    registry.record_receiver("a", 3);
    assert_eq!(registry.receiver("a"), Some(3));
    registry.expect_heartbeats_of(at(1000), |machine| machine == 2);
    assert_eq!(registry.silent_since("a"), None);
    registry.expect_heartbeats_of(at(2000), |machine| machine == 3);
    assert_eq!(registry.silent_since("a"), Some(at(2000)));
    assert_eq!(registry.last_heartbeat_at("a"), None, "none has arrived, so this machine has not heard it");
    registry.expect_heartbeats_of(at(3000), |_| true);
    assert_eq!(registry.silent_since("a"), Some(at(2000)), "it is expected since the loss");
    // It turns to this machine, or another one reports that it did.
    registry.record_heartbeat(at(4000), Host { call_seq: 5, ..host });
    assert_eq!(registry.last_heartbeat_at("a"), Some(at(4000)));
    registry.record_receiver("a", 2);
    assert_eq!(registry.silent_since("a"), None);
}
