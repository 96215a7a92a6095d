//! The control plane on its worst days: control machines as they ship, in simulated time, and callers that ask them at
//! the worst moment. Each test brings one point of `docs/notes/control.md` about.

use arrowyard_control::MAX_REMEMBERED_CHANGES;
use arrowyard_emulator::catch_up::catch_up;
use arrowyard_emulator::{CallAnswer, Day, DiskFault, Fault, Plan, System, Trouble, play};
use arrowyard_runtime::Signal;
use arrowyard_runtime::http::format_request;
use arrowyard_types::{TimeDelta, Timestamp};

fn ms(ms: i64) -> TimeDelta {
    TimeDelta::from_millis(ms)
}

/// A deployment with control alone; the stand-in operator brings the first configuration, revision 3.
struct Fleet {
    system: System,
    revision: u64,
}

fn plan(controls: usize, tolerance: u32) -> Plan {
    Plan {
        seed: 5,
        controls,
        routers: 2,
        services: 1,
        users: 0,
        think: ms(100),
        from: Timestamp::from_micros(0),
        until: Timestamp::from_micros(3_600_000_000),
        changes: Vec::new(),
        limit: 40,
        zones: 3,
        tolerance,
        fence_checked: true,
        surges: Vec::new(),
        divides: false,
        shares: String::new(),
    }
}

impl Fleet {
    fn new(controls: usize, tolerance: u32) -> Self {
        let mut fleet = Fleet { system: System::new(plan(controls, tolerance)), revision: 3 };
        fleet.pass(6000);
        fleet
    }

    fn pass(&mut self, millis: i64) {
        let until = self.system.world.now + ms(millis);
        self.system.world.run(until);
    }

    fn begin(&mut self, control: usize, text: &str) -> CallAnswer {
        self.system.begin_call(control, text)
    }

    fn ask(&mut self, control: usize, text: &str) -> (u16, String) {
        self.system.call(control, text)
    }

    /// A change on top of the newest one; asked of all machines in turn until it is clear.
    fn change(&mut self, first: usize) -> String {
        let text = order(self.revision + 1, self.revision, "");
        for turn in 0..60 {
            let control = self.system.control_of(first + turn);
            match self.ask(control, &text).0 {
                200 => {
                    self.revision += 1;
                    return text;
                }
                status => assert!(status == 0 || status >= 500, "a sound change got {status}"),
            }
        }
        panic!("no machine acknowledged revision {}", self.revision + 1);
    }

    fn read(&mut self, control: usize) -> (u16, Option<u64>) {
        let (status, body) = self.ask(control, &format_request("GET", "/Config.Read", "c", &[], ""));
        (status, number(&body, "\"revision\":"))
    }

    fn status(&mut self, control: usize) -> String {
        self.ask(control, &format_request("GET", "/status", "c", &[], "")).1
    }

    /// Machines that carry the duty out at this moment.
    fn holders(&mut self) -> Vec<usize> {
        let text = format_request("GET", "/status", "c", &[], "");
        let asked: Vec<CallAnswer> =
            (0..self.system.controls.len()).map(|one| self.begin(one, &text)).collect();
        let ways = self.system.world.latency * 5.0 + ms(2);
        self.system.world.run(self.system.world.now + ways);
        let carries = |answer: &CallAnswer| {
            answer.borrow().as_ref().is_some_and(|(_, body)| body.contains("\"divides\":true"))
        };
        asked.iter().enumerate().filter(|(_, answer)| carries(answer)).map(|(one, _)| one).collect()
    }

    fn cut(&mut self, control: usize, how: Cut) {
        let one = self.system.controls[control];
        for other in self.system.controls.clone().into_iter().filter(|other| *other != one) {
            match how {
                Cut::Both => self.system.world.cut(one, other),
                Cut::Mute => self.system.world.mute(one, other),
                Cut::Deaf => self.system.world.mute(other, one),
            }
        }
    }

    fn heal(&mut self, control: usize) {
        let one = self.system.controls[control];
        for other in self.system.controls.clone().into_iter().filter(|other| *other != one) {
            self.system.world.join(one, other);
            self.system.world.unmute(one, other);
            self.system.world.unmute(other, one);
        }
    }

    /// All control machines lose power; these lose their disks as well. Then all start again.
    fn lose_power(&mut self, wiped: &[usize]) {
        for number in 0..self.system.controls.len() {
            let machine = self.system.controls[number];
            self.system.world.darken(machine);
            if wiped.contains(&number) {
                self.system.disks[number].borrow_mut().records.clear();
            }
        }
        self.pass(500);
        (0..self.system.controls.len()).for_each(|number| self.system.start_control(number, false));
    }
}

#[derive(Clone, Copy, Debug)]
enum Cut {
    Both,
    /// It is not heard, and hears.
    Mute,
    /// It hears nothing, and is heard.
    Deaf,
}

fn number(text: &str, behind: &str) -> Option<u64> {
    let digits = text.split(behind).nth(1)?;
    digits.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

fn order(revision: u64, base: u64, mark: &str) -> String {
    let body = format!(
        "{{\"revision\":{revision},\"upsert\":{{\"channels\":[{{\"name\":\"r-x{mark}\",\"plant\":\"x{mark}\",\"path-prefix\":\"/\",\
         \"kind\":\"primary\",\"deadline-ms\":800,\"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2}}]}}}}"
    );
    format_request("POST", "/Config.Adjust", "c", &[("Arrowyard-Base-Revision", &base.to_string())], &body)
}

fn draining(id: &str, call_seq: u64) -> String {
    let body = format!(
        "{{\"service\":\"s0\",\"address\":\"10.9.0.1:8000\",\"zone\":\"zone1\",\"revision\":\"v1\",\"capacity\":4,\"phase\":\"draining\",\
         \"cold-left-ms\":0,\"db-role\":\"replica\",\"call-seq\":{call_seq}}}"
    );
    format_request("POST", &format!("/Instances.Beat/{id}"), "c", &[], &body)
}

fn leave(id: &str) -> String {
    format_request("POST", &format!("/Instances.Leave/{id}"), "c", &[], "{}")
}

fn phase_of<'a>(status: &'a str, id: &str) -> Option<&'a str> {
    let entry = status.split(&format!("\"id\":\"{id}\"")).nth(1)?;
    entry.split("\"phase\":\"").nth(1)?.split('"').next()
}

/// Point 1: cut off for twenty seconds, in either direction, from the first moment on.
#[test]
fn a_machine_that_is_cut_off_confirms_nothing_refuses_nothing_and_shows_nothing_old() {
    for how in [Cut::Both, Cut::Mute, Cut::Deaf] {
        let mut fleet = Fleet::new(3, 1);
        assert_eq!(fleet.ask(0, &draining("i-known", 1)).0, 200, "it is in touch");
        fleet.cut(0, how);
        let mut newest = fleet.revision;
        for turn in 0..20 {
            let calls = [
                draining(&format!("i-drain{turn}"), 1),
                leave(&format!("i-leave{turn}")),
                format_request("GET", "/Config.Read", "c", &[], ""),
            ];
            let answers = calls.map(|text| fleet.begin(0, &text));
            let mine = fleet.begin(0, &order(900 + turn, newest, "cut"));
            fleet.pass(100);
            let status = |answer: &CallAnswer| answer.borrow().as_ref().map_or(0, |(status, _)| *status);
            assert!([0, 503].contains(&status(&mine)), "{how:?}, turn {turn}: {mine:?}");
            fleet.change(1);
            newest = fleet.revision;
            fleet.pass(1000);
            for answer in &answers {
                assert!([0, 503].contains(&status(answer)), "{how:?}, turn {turn}: {answer:?}");
            }
            // By now another change has been taken on the same version; a machine that has heard of it may say so.
            assert!([0, 503, 412].contains(&status(&mine)), "{how:?}, turn {turn}: {mine:?}");
        }
        assert!(fleet.status(0).contains("\"routers\":[]"), "{how:?}: its routers went elsewhere");
        fleet.heal(0);
        fleet.pass(3000);
        assert_eq!(fleet.read(0), (200, Some(newest)), "{how:?}: it is taken back");
        assert_eq!(fleet.ask(0, &draining("i-after", 1)).0, 200, "{how:?}");
    }
}

/// Point 1: what a host was told is kept, though all lose power at that moment and the machine that told it its disk.
#[test]
fn a_departure_that_was_acknowledged_survives_the_machine_that_acknowledged_it() {
    for text in [draining("i-x", 4), leave("i-x")] {
        let mut fleet = Fleet::new(3, 1);
        let answer = fleet.begin(0, &text);
        while answer.borrow().is_none() {
            fleet.system.world.run(fleet.system.world.now + TimeDelta::from_micros(200));
        }
        assert_eq!(answer.borrow().as_ref().map(|(status, _)| *status), Some(200));
        fleet.lose_power(&[0]);
        fleet.pass(4000);
        for control in 0..3 {
            let status = fleet.status(control);
            let phase = phase_of(&status, "i-x").unwrap_or("unknown");
            assert!(["draining", "gone"].contains(&phase), "{control}: {phase}");
        }
    }
}

/// Point 1: a call from before `draining` that comes seconds late changes nothing.
#[test]
fn a_late_call_does_not_bring_a_host_back_that_said_that_it_leaves() {
    let mut fleet = Fleet::new(3, 1);
    assert_eq!(fleet.ask(0, &draining("i-x", 7)).0, 200);
    fleet.pass(9000);
    let late = draining("i-x", 6).replace("draining", "in_service");
    let body = late.split("\r\n\r\n").nth(1).expect("a body").to_string();
    fleet.ask(0, &format_request("POST", "/Instances.Beat/i-x", "c", &[], &body));
    fleet.pass(500);
    for control in 0..3 {
        assert_eq!(phase_of(&fleet.status(control), "i-x"), Some("draining"), "{control}");
    }
}

/// Point 1: a holder of the duty that is cut off carries it out no more before another one does; after the cut one does.
#[test]
fn no_two_machines_carry_the_duty_out_at_once() {
    for how in [Cut::Both, Cut::Mute, Cut::Deaf] {
        for turn in 0..4 {
            let mut fleet = Fleet::new(3, 1);
            fleet.pass(turn * 170);
            let holder = fleet.holders().pop().expect("the duty is held");
            fleet.cut(holder, how);
            let mut seen = Vec::new();
            for step in 0..500 {
                if step == 400 {
                    fleet.heal(holder);
                }
                let holders = fleet.holders();
                assert!(holders.len() <= 1, "{how:?}, turn {turn}, step {step}: {holders:?}");
                seen.extend(holders.into_iter().filter(|one| *one != holder));
                fleet.pass(10);
            }
            assert!(!seen.is_empty(), "{how:?}, turn {turn}: nobody took it up");
            assert_eq!(fleet.holders().len(), 1, "{how:?}, turn {turn}");
        }
    }
}

/// Point 1: a holder of the duty that was frozen wakes up, and does not go on as though nothing had been.
#[test]
fn a_holder_that_wakes_after_a_freeze_carries_nothing_out_before_it_is_confirmed() {
    for turn in 0..4 {
        let mut fleet = Fleet::new(3, 1);
        fleet.pass(turn * 170);
        let holder = fleet.holders().pop().expect("the duty is held");
        let machine = fleet.system.controls[holder];
        fleet.system.world.freeze(machine, true);
        fleet.pass(5000);
        assert!(fleet.holders().iter().all(|one| *one != holder), "another one holds it");
        fleet.system.world.freeze(machine, false);
        for step in 0..200 {
            let holders = fleet.holders();
            assert!(!holders.contains(&holder), "turn {turn}, step {step}: {holders:?}");
            fleet.pass(5);
        }
        assert_eq!(fleet.holders().len(), 1);
    }
}

/// Point 2: two operators under one number, and orders that come again, at once and at all machines.
#[test]
fn one_of_two_orders_of_one_number_is_taken_and_comes_again_as_often_as_it_likes() {
    let mut fleet = Fleet::new(3, 1);
    for round in 0..20_u64 {
        let (base, revision) = (fleet.revision, fleet.revision + 1);
        let commands = [order(revision, base, "a"), order(revision, base, "b")];
        // Eight at a time; whoever got no clear answer asks again.
        let mut taken = [false, false];
        let mut refused = [false, false];
        for _ in 0..4 {
            let answers: Vec<(usize, CallAnswer)> = (0..8)
                .map(|place| {
                    let which = (place + round as usize) % 2;
                    (which, fleet.begin(place % 3, &commands[which]))
                })
                .collect();
            fleet.pass(300);
            for (which, answer) in answers {
                match answer.borrow().as_ref().map_or(0, |(status, _)| *status) {
                    200 => taken[which] = true,
                    412 => refused[which] = true,
                    status => assert!(status == 0 || status == 503, "round {round}: {status}"),
                }
            }
        }
        assert!(taken[0] != taken[1], "round {round}: {taken:?}");
        assert!((0..2).all(|which| !(taken[which] && refused[which])), "round {round}");
        fleet.revision = revision;
    }
}

/// Point 2: an order that was acknowledged is never refused, however many came after it.
#[test]
fn an_order_that_was_taken_is_acknowledged_again_or_left_unclear_but_never_refused() {
    let mut fleet = Fleet::new(3, 1);
    let first = fleet.change(0);
    for _ in 0..MAX_REMEMBERED_CHANGES + 40 {
        fleet.change(0);
    }
    let of_another = order(5, 3, "other");
    for control in 0..3 {
        assert_eq!(fleet.ask(control, &first).0, 503, "so long ago that it is not known any more");
        assert_eq!(fleet.ask(control, &of_another).0, 503, "nor whether it was this one");
    }
    let recent = (0..5).map(|_| fleet.change(1)).next().expect("five");
    fleet.lose_power(&[2]);
    fleet.pass(4000);
    for control in 0..3 {
        assert_eq!(fleet.ask(control, &recent).0, 200, "it is remembered on every disk");
        assert_eq!(fleet.ask(control, &order(fleet.revision, fleet.revision - 1, "other")).0, 412);
    }
}

/// Point 3: machines are replaced one after the other, and after each the machine whose disk has lasted longest is lost.
#[test]
fn after_each_replacement_one_more_loss_leaves_a_majority_with_all_that_was_acknowledged() {
    let mut fleet = Fleet::new(4, 1);
    let mut oldest = vec![0, 1, 2, 3];
    for round in 0..3 {
        let gone = oldest.remove(0);
        fleet.change(1);
        fleet.system.remove_control(gone);
        fleet.pass(1000);
        fleet.system.add_control();
        // `settle-s` after the new machine's start the next loss may come.
        fleet.pass(4000);
        fleet.change(1);
        let lost = oldest[0];
        fleet.lose_power(&[lost]);
        oldest.rotate_left(1);
        fleet.pass(4000);
        let read = fleet.system.control_of(round);
        assert_eq!(fleet.read(read), (200, Some(fleet.revision)), "round {round}");
        fleet.change(0);
        fleet.pass(1000);
    }
}

/// Point 3: a voter that is told to end hands its seat over first. It never comes back, another voter loses its disk the
/// moment that it has ended, and all others lose power.
#[test]
fn a_voter_that_is_told_to_end_leaves_a_majority_with_all_that_was_acknowledged() {
    for leaving in 0..3 {
        let mut fleet = Fleet::new(4, 1);
        fleet.change(leaving);
        let machine = fleet.system.controls[leaving];
        let told = fleet.system.world.now;
        fleet.system.world.sign(machine, Signal::Terminate);
        fleet.change(leaving + 1);
        while !fleet.system.world.has_stopped(machine) {
            fleet.pass(10);
            let waited = fleet.system.world.now - told;
            assert!(waited <= ms(2500), "{leaving}: it has not ended after {waited:?}");
        }
        fleet.system.remove_control(leaving);
        fleet.lose_power(&[(leaving + 1) % 3]);
        fleet.pass(4000);
        assert_eq!(fleet.read(3), (200, Some(fleet.revision)), "{leaving}");
        fleet.change(3);
    }
}

/// Point 3: how long one more loss would leave no majority, from the end of a voter to its successor's vote; also where the
/// voter held the duty.
#[test]
fn a_voter_that_is_gone_is_replaced_within_four_seconds() {
    for gone in 0..3 {
        let mut fleet = Fleet::new(4, 1);
        let ends = fleet.system.world.now;
        fleet.system.remove_control(gone);
        let address = format!("\"10.0.0.{}\"", gone + 1);
        let other = fleet.system.control_of(0);
        let voters = |status: &str| {
            let voters = status.split("\"voters\":[").nth(1).and_then(|rest| rest.split(']').next());
            voters.unwrap_or_default().to_string()
        };
        while voters(&fleet.status(other)).contains(&address) {
            let waited = fleet.system.world.now - ends;
            assert!(waited <= ms(4000), "{gone}: {waited:?}");
            fleet.pass(50);
        }
        assert_eq!(voters(&fleet.status(other)).split(',').count(), 3, "{gone}");
    }
}

/// Point 4: a machine that was away for more entries than any other keeps, and one that lost its disk, catch up.
#[test]
fn a_machine_that_was_away_for_hundreds_of_changes_catches_up_and_shows_nothing_old_meanwhile() {
    for away in [10, 700] {
        let mut fleet = Fleet::new(3, 1);
        let machine = fleet.system.controls[2];
        fleet.system.world.kill(machine);
        for turn in 0..away {
            let text = order(fleet.revision + 1, fleet.revision, &format!("{turn}"));
            let status = (0..10).map(|_| fleet.ask(turn % 2, &text).0).find(|status| *status == 200);
            assert_eq!(status, Some(200));
            fleet.revision += 1;
        }
        fleet.system.start_control(2, false);
        let mut behind = 0;
        loop {
            match fleet.read(2) {
                (200, read) => {
                    assert_eq!(read, Some(fleet.revision), "it answers with old state");
                    break;
                }
                (status, _) => assert!(status == 0 || status == 503, "{status}"),
            }
            behind += 1;
            assert!(behind < 40, "it never caught up after {away} changes");
        }
        // It counts again: with one of the others away, a majority is there.
        fleet.pass(1000);
        let other = fleet.system.controls[0];
        fleet.system.world.kill(other);
        fleet.pass(3000);
        fleet.change(1);
        assert_eq!(fleet.read(2), (200, Some(fleet.revision)));
    }
}

/// Point 3: while a disk refuses, another one is lost with all power; both are back, and nothing is missing.
#[test]
fn a_disk_that_refuses_counts_for_nothing_until_it_holds_everything_again() {
    for fault in [DiskFault::Refuses, DiskFault::Hangs] {
        let mut fleet = Fleet::new(3, 1);
        let machine = fleet.system.controls[1];
        fleet.system.world.fail_disk(machine, fault);
        for _ in 0..10 {
            fleet.change(0);
        }
        fleet.pass(1500);
        assert!(fleet.status(1).contains("\"votes\":false,\"disk-works\":false"), "{fault:?}");
        fleet.system.world.fail_disk(machine, DiskFault::None);
        fleet.pass(1500);
        assert!(fleet.status(1).contains("\"votes\":true,\"disk-works\":true"), "{fault:?}");
        fleet.lose_power(&[0]);
        fleet.pass(4000);
        assert_eq!(fleet.read(1), (200, Some(fleet.revision)), "{fault:?}");
        fleet.change(2);
    }
}

/// Point 5: a call to the platform hangs and is repeated, the host that it names leads and is lost, another one is
/// decided on; then the first call arrives. It must not make the first host primary: each decision has its own fence.
#[test]
fn a_promotion_that_hung_does_nothing_once_another_was_decided() {
    for seed in 1..6 {
        let fault = |at, for_s, what| Fault { at, for_s, what, which: 0 };
        let day = Day {
            seed,
            seconds: 22.0,
            changes: Vec::new(),
            faults: vec![
                fault(5.5, 2.0, Trouble::PlatformAway),
                fault(6.0, 3.0, Trouble::CrashPrimary),
                fault(9.8, 2.5, Trouble::CrashPrimary),
            ],
            ..Day::default()
        };
        let played = play(&day);
        assert!(played.breaches.is_empty(), "{seed}: {:?}", played.breaches);
        assert!(played.promotions >= 2, "{seed}: only {} changes of primary", played.promotions);
    }
}

/// Point 5: the platform does not check fences, and the holder of the duty is frozen at whatever moment of a change of
/// primary. Another holder decides; then the first one wakes up, and what it was about to send must not come any more.
#[test]
fn where_fences_are_not_checked_no_lower_one_is_sent() {
    let mut promotions = 0;
    for moment in 0..40 {
        let plan = Plan { fence_checked: false, ..plan(3, 1) };
        let mut fleet = Fleet { system: System::new(plan), revision: 3 };
        // Long ways: so that whatever is under way is met by the freeze.
        fleet.system.world.latency = ms(20);
        fleet.pass(6000);
        let holder = fleet.holders().pop().expect("the duty is held");
        let primary = fleet.system.seat_of(0, true, 0).expect("there is one");
        fleet.system.stop_host(primary, false);
        // Without clients it is missed by its calls alone, within 3 s and a little.
        fleet.pass(1800 + moment * 60);
        let machine = fleet.system.controls[holder];
        fleet.system.world.freeze(machine, true);
        fleet.pass(9000);
        fleet.system.world.freeze(machine, false);
        fleet.pass(3000);
        let breaches = fleet.system.history.borrow().breaches.clone();
        assert!(breaches.iter().all(|breach| breach.rule != "ONE"), "moment {moment}: {breaches:?}");
        promotions += fleet.system.shards[0].borrow().promotions;
    }
    assert!(promotions >= 40, "only {promotions} changes of primary");
}

/// A whole configuration that differs in one route from the one before goes to the routers as that route: a few whole ones a
/// second, each sent to every router, once filled the links of small machines.
#[test]
fn routers_are_told_what_differs_of_a_whole_configuration() {
    let plan = Plan { routers: 20, ..plan(3, 1) };
    let mut fleet = Fleet { system: System::new(plan), revision: 3 };
    fleet.pass(6000);
    let whole = |revision: u64| {
        let routes: Vec<String> = (0..1500)
            .map(|route| {
                let deadline = if route == revision { 801 } else { 800 };
                format!(
                    "{{\"name\":\"r{route}\",\"plant\":\"p{route}\",\"path-prefix\":\"/\",\"kind\":\"primary\",\"deadline-ms\":{deadline},\
                     \"setpoint-ms\":120,\"priority\":1,\"service\":\"s0\",\"tries\":2}}"
                )
            })
            .collect();
        format!(
            "{{\"revision\":{revision},\"channels\":[{}],\"services\":[{{\"name\":\"s0\"}}]}}",
            routes.join(",")
        )
    };
    let replace = |fleet: &mut Fleet, revision: u64| {
        let base = (revision - 1).to_string();
        let text = format_request(
            "POST",
            "/Config.Replace",
            "c",
            &[("Arrowyard-Base-Revision", &base)],
            &whole(revision),
        );
        assert_eq!(fleet.ask(0, &text).0, 200, "revision {revision}");
        fleet.pass(300);
    };
    replace(&mut fleet, 4);
    let sent = |fleet: &Fleet| -> u64 {
        fleet.system.controls.iter().map(|machine| fleet.system.world.cost(*machine).0).sum()
    };
    let before = sent(&fleet);
    (5..15).for_each(|revision| replace(&mut fleet, revision));
    let bytes = sent(&fleet) - before;
    let body = whole(5).len() as u64;
    assert!(bytes < 10 * body * 10, "{bytes} bytes for ten changes of {body}");
    for control in 0..3 {
        let status = fleet.status(control);
        assert_eq!(status.matches("\"revision\":14").count(), 1 + status.matches("\"node\":\"edge-").count());
    }
}

/// Point 3: a primary is cut off from control and from its replicas, which are fenced; a new replica that nobody has asked
/// to stop joins it at that moment, and it acknowledges what it held back. Whoever takes over lacks it. On every other
/// day a control machine is killed shortly before, and the routers that it fed hear of nothing.
#[test]
fn a_replica_that_joins_while_its_primary_is_replaced_acknowledges_nothing_for_it() {
    let mut promotions = 0;
    for moment in 0_u32..40 {
        let fault = |at: f64, for_s: f64, what: Trouble| Fault { at, for_s, what, which: moment as usize };
        let joins = 8.9 + 0.06 * f64::from(moment);
        let mut faults = vec![fault(6.0, 8.0, Trouble::CutPrimary), fault(joins, 0.0, Trouble::JoinReplica)];
        if moment % 2 == 1 {
            faults.push(fault(joins - 0.7, 3.0, Trouble::KillControl));
        }
        let day = Day { seed: 90 + u64::from(moment), seconds: 19.0, users: 4, faults, ..Day::default() };
        let played = play(&day);
        assert!(played.breaches.is_empty(), "joined at {joins}: {:?}", played.breaches);
        promotions += played.promotions;
    }
    // With a replica of its own the cut off primary serves on, and is not always replaced.
    assert!(promotions >= 25, "{promotions} in 40 days");
}

/// The same where the primary is told to leave: control reaches it, its replicas receive nothing, and a new one joins it
/// before it is replaced.
#[test]
fn a_replica_that_joins_a_leaving_primary_that_nobody_receives_from_acknowledges_nothing_that_is_lost() {
    for moment in 0_u32..24 {
        let fault = |at: f64, what: Trouble, which: usize| Fault { at, for_s: 7.0, what, which };
        let joins = 8.1 + 0.1 * f64::from(moment);
        let faults = vec![
            fault(6.0, Trouble::DeafReplica, 0),
            fault(6.0, Trouble::DeafReplica, 1),
            fault(8.0, Trouble::ReleasePrimary, 0),
            fault(joins, Trouble::JoinReplica, 0),
        ];
        let day = Day { seed: 190 + u64::from(moment), seconds: 22.0, users: 4, faults, ..Day::default() };
        let played = play(&day);
        assert!(played.breaches.is_empty(), "joined at {joins}: {:?}", played.breaches);
    }
}

/// A replica is cut off from control, and its primary some seconds later; routers reach both. The other replica receives
/// nothing at half of the moments: then whatever is acknowledged, the one that control does not reach alone has.
#[test]
fn what_a_replica_that_control_does_not_reach_acknowledged_is_kept() {
    let mut promotions = 0;
    for moment in 0_u32..16 {
        let which = moment as usize;
        let fault = |at: f64, what: Trouble, which: usize| Fault { at, for_s: 14.0, what, which };
        let hides = 10.5 + 0.1 * f64::from(moment);
        let mut faults =
            vec![fault(6.0, Trouble::HideReplica, which), fault(hides, Trouble::HidePrimary, which)];
        if moment % 2 == 1 {
            faults.push(fault(hides - 0.8, Trouble::DeafReplica, which + 1));
        }
        let day = Day { seed: 290 + u64::from(moment), seconds: 26.0, users: 8, faults, ..Day::default() };
        let played = play(&day);
        let breach = played.breaches.first();
        assert!(breach.is_none(), "hidden at {hides}: {} breaches, {breach:?}", played.breaches.len());
        // Whoever has it all leads, and routers find it.
        let served = played.seconds.iter().rev().skip(1).take(3);
        assert!(served.clone().all(|(_, asked, served)| served == asked), "hidden at {hides}: {served:?}");
        promotions += played.promotions;
    }
    assert_eq!(promotions, 16);
}

/// Point 4: a machine that is told entries proposes nothing between two of them. It once began a round behind each, and
/// every voter answered each with all entries behind it again: 49 MB for 500 entries of 200 bytes.
#[test]
fn a_machine_that_catches_up_is_sent_each_entry_about_once() {
    let took = catch_up(300, 10).expect("it catches up");
    assert!(took.waited < ms(500), "{took:?}");
    assert!(took.bytes < 1_000_000, "{took:?}");
}
