//! The programs as they ship, on loopback: three control machines and a router before stand-in hosts. Nothing here waits
//! for a fixed time: it waits for a line of a log, or for an answer.

mod helpers;

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use helpers::{Client, FIRST, Fleet, LONG, Process, control_ip, program, started};

#[test]
fn a_configuration_is_agreed_on_and_outlives_its_machines() {
    let fleet = Fleet::new(1);
    let mut controls = started(&fleet);
    // The same call again, to another machine; another one on the same version; invalid ones.
    assert_eq!(fleet.change(2, "/Config.Replace", 0, FIRST).0, 200);
    assert_eq!(
        fleet.change(0, "/Config.Replace", 0, &FIRST.replace("\"revision\":3", "\"revision\":4")).0,
        412
    );
    let (status, body) =
        fleet.change(0, "/Config.Replace", 3, r#"{"revision":9,"channels":[{"name":"x","service":"s9"}]}"#);
    assert_eq!((status, body.contains("/channels/0/service")), (400, true), "{body}");
    assert_eq!(fleet.change(0, "/Config.Replace", 3, "{\"revision\":").0, 400);
    // Without the third machine a change needs the first one's disk: from here on that holds what was agreed on.
    controls[2].signal("-STOP");
    let added =
        r#"{"revision":5,"upsert":{"channels":[{"name":"y","plant":"y0","service":"s0","kind":"primary"}]}}"#;
    assert_eq!(fleet.change(1, "/Config.Adjust", 3, added).0, 200);
    controls[2].signal("-CONT");
    // A machine is killed while changes go on, and knows all when it is back.
    controls[0].child.kill().expect("it is ours");
    controls[0].child.wait().expect("it ended");
    let adjust =
        r#"{"revision":7,"upsert":{"channels":[{"name":"q","plant":"q0","service":"s0","kind":"primary"}]}}"#;
    assert_eq!(fleet.change(1, "/Config.Adjust", 5, adjust).0, 200);
    controls[0] = fleet.control(0, false);
    let line = controls[0].says("ledger:");
    assert!(line.contains("3 voters, votes"), "{line}");
    controls[0].says("In touch with the voters");
    let (status, body) = fleet.read(0);
    assert!(status == 200 && body.contains("\"revision\":7") && body.contains("q0"), "{status} {body}");
    // Every machine loses its process at once.
    for control in &mut controls {
        control.child.kill().expect("it is ours");
        control.child.wait().expect("it ended");
    }
    let controls: Vec<Process> = (0..3).map(|number| fleet.control(number, false)).collect();
    for control in &controls {
        control.says("In touch with the voters");
    }
    for number in 0..3 {
        assert!(fleet.read(number).1.contains("\"revision\":7"));
    }
}

#[test]
fn a_machine_without_its_disk_votes_again_once_the_others_let_it_in() {
    let fleet = Fleet::new(2);
    let mut controls = started(&fleet);
    controls[2].child.kill().expect("it is ours");
    controls[2].child.wait().expect("it ended");
    fs::remove_dir_all(fleet.folder.join("core-2")).expect("its disk");
    controls[2] = fleet.control(2, false);
    controls[2].says("0 entries, 0 voters, does not vote");
    controls[2].says("Votes again");
    // Now it is one of the two that are needed.
    controls[1].child.kill().expect("it is ours");
    controls[1].child.wait().expect("it ended");
    let adjust = r#"{"revision":8,"upsert":{"channels":[{"name":"q","plant":"q0","service":"s0"}]}}"#;
    assert_eq!(fleet.change(2, "/Config.Adjust", 3, adjust).0, 200);
    assert!(fleet.read(0).1.contains("\"revision\":8"));
}

#[test]
fn sessions_are_served_and_a_router_ends_in_order() {
    let fleet = Fleet::new(3);
    let _controls = started(&fleet);
    let router = fleet.router();
    router.says("Revision 3 is in force");
    let mut client = Client::open(fleet.front(), "p0");
    client.ask_till_served("WRITE t1 k1");
    assert_eq!(client.ask("ASSIGN colour blue"), ["SETTLED -", "IDLE I -"]);
    assert_eq!(client.ask("DEFINE mine READ shape"), ["SETTLED -", "IDLE I -"]);
    let answer = client.ask_till_served("RUN mine t1");
    assert!(answer[0].starts_with("ROW row-id") && answer[1].starts_with("SETTLED i-0.id"), "{answer:?}");
    assert!(client.ask("RUN other t1")[0].starts_with("FAULT UNDEFINED"));
    assert!(client.ask("NONSENSE")[0].starts_with("FAULT MALFORMED"));
    assert_eq!(client.ask("BEGIN"), ["SETTLED -", "IDLE T -"]);
    let answer = client.ask("WRITE t2 k2");
    assert!(answer.last().is_some_and(|line| line.starts_with("IDLE T")), "{answer:?}");
    // Another session reads beside it, at a replica.
    let mut reader = Client::open(fleet.front(), "b0");
    let answer = reader.ask_till_served("READ t1");
    assert!(answer[0].starts_with("ROW"), "{answer:?}");
    // It is told to end: what rests is closed, the transaction may still commit.
    router.signal("-TERM");
    router.says("drain: started with");
    let answer = client.ask("COMMIT");
    assert!(answer.iter().any(|line| line.starts_with("SETTLED i-0")), "{answer:?}");
    router.says("Ended in order");
    let mut rest = Vec::new();
    reader.stream.read_to_end(&mut rest).expect("it closed in order");
    assert!(rest.is_empty());
}

#[test]
fn a_database_that_is_not_there_and_settings_that_are_wrong_are_told() {
    let fleet = Fleet::new(4);
    let _controls = started(&fleet);
    let router = fleet.router();
    router.says("Revision 3 is in force");
    let mut stream = TcpStream::connect(fleet.front()).expect("it listens");
    stream.set_read_timeout(Some(LONG)).expect("a time");
    stream.write_all(b"OPEN nowhere u1\r\n").expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("it answers and closes");
    assert!(answer.starts_with("FAULT NODB"), "{answer}");
    let path = fleet.folder.join("wrong.yaml");
    fs::write(&path, "node: \"\"\nip: \"127.0.0.1\"\nzone: \"\"\ninternal-ports:\n  - 9\n  - 8\n")
        .expect("our folder");
    let checked =
        Command::new(program("arrowyard-sluice")).arg("check").arg(&path).output().expect("it runs");
    let said = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2));
    for fault in ["node: is empty", "zone: is empty", "internal-ports: the first is after the last"] {
        assert!(said.contains(fault), "{said}");
    }
}

#[test]
fn what_a_control_machine_knows_is_shown() {
    let fleet = Fleet::new(5);
    let _controls = started(&fleet);
    let show = |address: String, part: &str| {
        let mut command = Command::new(program("arrowyard-control"));
        let output = command.args(["show", &address, part]).output().expect("it runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let control = |number| format!("{}:{}", control_ip(fleet.net, number), fleet.ports[0]);
    let (code, members, _) = show(control(0), "members");
    assert_eq!(code, Some(0));
    let voters: Vec<String> = (0..3).map(|number| control_ip(fleet.net, number).to_string()).collect();
    assert!(members.contains(&voters.join(" ")), "{members}");
    assert_eq!(show(control(0), "duties").0, Some(0));
    // One of them divides, once it has won the duty.
    let divides =
        || (0..3).filter(|number| show(control(*number), "shares").1.contains("no host is pressed")).count();
    let began = Instant::now();
    while divides() != 1 {
        assert!(began.elapsed() < LONG, "nobody takes up the duty, or two do");
    }
    let (code, _, fault) = show(control(7), "members");
    assert!(code == Some(2) && fault.contains(&control(7)), "{fault}");
    assert_ne!(show(control(0), "everything").0, Some(0));
}

/// Sixty readers ask for what takes hosts long, again and again, till they are told to end.
fn flood(fleet: &Fleet, over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    let reader = |_| {
        let (front, over) = (fleet.front(), over.clone());
        thread::spawn(move || {
            let mut client = Client::open(front, "b0");
            while !over.load(Ordering::Relaxed) {
                client.ask("READ w1");
            }
        })
    };
    (0..60).map(reader).collect()
}

#[test]
fn a_surge_of_reads_is_held_and_shown_while_writes_go_on() {
    let fleet = Fleet::new(6);
    let _controls = started(&fleet);
    let router = fleet.router();
    router.says("Revision 3 is in force");
    let mut writer = Client::open(fleet.front(), "p0");
    writer.ask_till_served("WRITE t1 k0");
    let held = || {
        let status = |number| fleet.call(number, "GET /status HTTP/1.1\r\nConnection: close\r\n\r\n").1;
        let row = "\"service\":\"bounded_staleness/1\"";
        let held = |status: String| {
            let rows = status.split("{\"host\":").filter(|text| text.contains(row));
            rows.into_iter().any(|text| text.contains("\"held\":true"))
        };
        (0..3).map(status).any(held)
    };
    let until = |what: &str, wanted: bool| {
        let began = Instant::now();
        while held() != wanted {
            assert!(began.elapsed() < LONG, "{what}");
        }
    };
    let over = Arc::new(AtomicBool::new(false));
    let readers = flood(&fleet, &over);
    until("the surge is held", true);
    let served = (0..40).filter(|n| {
        let answer = writer.ask(&format!("WRITE t2 k{}", n + 1));
        answer.iter().any(|line| line.starts_with("SETTLED"))
    });
    let served = served.count();
    over.store(true, Ordering::Relaxed);
    readers.into_iter().for_each(|reader| reader.join().expect("its session held"));
    assert!(served >= 36, "{served} of 40 writes at the first try");
    until("nobody is held once it is over", false);
}
