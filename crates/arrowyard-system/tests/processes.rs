//! End-to-end tests of the programs on loopback: three control machines and a router in front of emulated
//! hosts. The tests wait for log lines and responses, never for a fixed time.

mod helpers;

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use helpers::{Client, FIRST, Fleet, Process, TIMEOUT, control_ip, program, start_controls};

#[test]
fn configuration_survives_crashes_of_control_machines() {
    let fleet = Fleet::new(1);
    let mut controls = start_controls(&fleet);
    // A repeated request to another machine, a conflicting change of the same revision, and invalid changes.
    assert_eq!(fleet.change(2, "/Config.Replace", 0, FIRST).0, 200);
    assert_eq!(
        fleet.change(0, "/Config.Replace", 0, &FIRST.replace("\"revision\":3", "\"revision\":4")).0,
        412
    );
    let (status, body) =
        fleet.change(0, "/Config.Replace", 3, r#"{"revision":9,"channels":[{"name":"x","service":"s9"}]}"#);
    assert_eq!((status, body.contains("/channels/0/service")), (400, true), "{body}");
    assert_eq!(fleet.change(0, "/Config.Replace", 3, "{\"revision\":").0, 400);
    // While the third machine is stopped, a majority includes the first one: its disk holds the change.
    controls[2].signal("-STOP");
    let added =
        r#"{"revision":5,"upsert":{"channels":[{"name":"y","plant":"y0","service":"s0","kind":"primary"}]}}"#;
    assert_eq!(fleet.change(1, "/Config.Adjust", 3, added).0, 200);
    controls[2].signal("-CONT");
    // A killed machine learns the changes that it missed after a restart.
    controls[0].child.kill().expect("kills the process");
    controls[0].child.wait().expect("process ended");
    let adjust =
        r#"{"revision":7,"upsert":{"channels":[{"name":"q","plant":"q0","service":"s0","kind":"primary"}]}}"#;
    assert_eq!(fleet.change(1, "/Config.Adjust", 5, adjust).0, 200);
    controls[0] = fleet.control(0, false);
    let line = controls[0].wait_for_log("replicated log:");
    assert!(line.contains("3 voters, votes"), "{line}");
    controls[0].wait_for_log("reached a majority of the voters");
    let (status, body) = fleet.read(0);
    assert!(status == 200 && body.contains("\"revision\":7") && body.contains("q0"), "{status} {body}");
    // All processes are killed at once.
    for control in &mut controls {
        control.child.kill().expect("kills the process");
        control.child.wait().expect("process ended");
    }
    let controls: Vec<Process> = (0..3).map(|number| fleet.control(number, false)).collect();
    for control in &controls {
        control.wait_for_log("reached a majority of the voters");
    }
    for number in 0..3 {
        assert!(fleet.read(number).1.contains("\"revision\":7"));
    }
}

#[test]
fn machine_that_lost_its_disk_votes_again_after_readmission() {
    let fleet = Fleet::new(2);
    let mut controls = start_controls(&fleet);
    controls[2].child.kill().expect("kills the process");
    controls[2].child.wait().expect("process ended");
    fs::remove_dir_all(fleet.folder.join("core-2")).expect("removes the data directory");
    controls[2] = fleet.control(2, false);
    controls[2].wait_for_log("0 entries, 0 voters, does not vote");
    controls[2].wait_for_log("votes again after readmission");
    // Its vote is now needed for a majority.
    controls[1].child.kill().expect("kills the process");
    controls[1].child.wait().expect("process ended");
    let adjust = r#"{"revision":8,"upsert":{"channels":[{"name":"q","plant":"q0","service":"s0"}]}}"#;
    assert_eq!(fleet.change(2, "/Config.Adjust", 3, adjust).0, 200);
    assert!(fleet.read(0).1.contains("\"revision\":8"));
}

#[test]
fn router_serves_sessions_and_shuts_down_gracefully() {
    let fleet = Fleet::new(3);
    let _controls = start_controls(&fleet);
    let router = fleet.router();
    router.wait_for_log("Revision 3 is in force");
    let mut client = Client::open(fleet.front(), "p0");
    client.ask_until_served("WRITE t1 k1");
    assert_eq!(client.ask("ASSIGN colour blue"), ["SETTLED -", "IDLE I -"]);
    assert_eq!(client.ask("DEFINE mine READ shape"), ["SETTLED -", "IDLE I -"]);
    let answer = client.ask_until_served("RUN mine t1");
    assert!(answer[0].starts_with("ROW row-id") && answer[1].starts_with("SETTLED i-0.id"), "{answer:?}");
    assert!(client.ask("RUN other t1")[0].starts_with("FAULT UNDEFINED"));
    assert!(client.ask("NONSENSE")[0].starts_with("FAULT MALFORMED"));
    assert_eq!(client.ask("BEGIN"), ["SETTLED -", "IDLE T -"]);
    let answer = client.ask("WRITE t2 k2");
    assert!(answer.last().is_some_and(|line| line.starts_with("IDLE T")), "{answer:?}");
    // Another session reads from a replica at the same time.
    let mut reader = Client::open(fleet.front(), "b0");
    let answer = reader.ask_until_served("READ t1");
    assert!(answer[0].starts_with("ROW"), "{answer:?}");
    // During shutdown idle sessions are closed, and an open transaction may still commit.
    router.signal("-TERM");
    router.wait_for_log("drain: started with");
    let answer = client.ask("COMMIT");
    assert!(answer.iter().any(|line| line.starts_with("SETTLED i-0")), "{answer:?}");
    router.wait_for_log("shutdown complete");
    let mut rest = Vec::new();
    reader.stream.read_to_end(&mut rest).expect("connection closes cleanly");
    assert!(rest.is_empty());
}

#[test]
fn unknown_database_and_invalid_settings_are_reported() {
    let fleet = Fleet::new(4);
    let _controls = start_controls(&fleet);
    let router = fleet.router();
    router.wait_for_log("Revision 3 is in force");
    let mut stream = TcpStream::connect(fleet.front()).expect("connects");
    stream.set_read_timeout(Some(TIMEOUT)).expect("sets the timeout");
    stream.write_all(b"OPEN nowhere u1\r\n").expect("writes");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("responds and closes");
    assert!(answer.starts_with("FAULT NODB"), "{answer}");
    let path = fleet.folder.join("wrong.yaml");
    fs::write(&path, "node: \"\"\nip: \"127.0.0.1\"\nzone: \"\"\ninternal-ports:\n  - 9\n  - 8\n")
        .expect("writes the file");
    let checked =
        Command::new(program("arrowyard-sluice")).arg("check").arg(&path).output().expect("runs the program");
    let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2));
    for error in ["node: is empty", "zone: is empty", "internal-ports: the first is after the last"] {
        assert!(stderr.contains(error), "{stderr}");
    }
}

#[test]
fn show_prints_the_status_of_a_control_machine() {
    let fleet = Fleet::new(5);
    let _controls = start_controls(&fleet);
    let show = |address: String, view: &str| {
        let mut command = Command::new(program("arrowyard-control"));
        let output = command.args(["show", &address, view]).output().expect("runs the program");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let control = |number| format!("{}:{}", control_ip(fleet.net, number), fleet.ports[0]);
    let (code, members, _) = show(control(0), "members");
    assert_eq!(code, Some(0));
    let voters: Vec<String> = (0..3).map(|number| control_ip(fleet.net, number).to_string()).collect();
    assert!(members.contains(&voters.join(" ")), "{members}");
    assert_eq!(show(control(0), "duties").0, Some(0));
    // Exactly one of them allocates shares, once it holds the duty.
    let allocators =
        || (0..3).filter(|number| show(control(*number), "shares").1.contains("no host is pressed")).count();
    let began = Instant::now();
    while allocators() != 1 {
        assert!(began.elapsed() < TIMEOUT, "not exactly one machine holds the duty");
    }
    let (code, _, error) = show(control(7), "members");
    assert!(code == Some(2) && error.contains(&control(7)), "{error}");
    assert_ne!(show(control(0), "everything").0, Some(0));
}

/// Starts 60 clients that send slow reads until `stop` is set.
fn start_readers(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    let reader = |_| {
        let (front, stop) = (fleet.front(), stop.clone());
        thread::spawn(move || {
            let mut client = Client::open(front, "b0");
            while !stop.load(Ordering::Relaxed) {
                client.ask("READ w1");
            }
        })
    };
    (0..60).map(reader).collect()
}

#[test]
fn read_overload_is_limited_while_writes_are_served() {
    let fleet = Fleet::new(6);
    let _controls = start_controls(&fleet);
    let router = fleet.router();
    router.wait_for_log("Revision 3 is in force");
    let mut writer = Client::open(fleet.front(), "p0");
    writer.ask_until_served("WRITE t1 k0");
    let limited = || {
        let status = |number| fleet.call(number, "GET /status HTTP/1.1\r\nConnection: close\r\n\r\n").1;
        let row = "\"service\":\"bounded_staleness/1\"";
        let limited = |status: String| {
            let rows = status.split("{\"host\":").filter(|text| text.contains(row));
            rows.into_iter().any(|text| text.contains("\"held\":true"))
        };
        (0..3).map(status).any(limited)
    };
    let until = |what: &str, wanted: bool| {
        let began = Instant::now();
        while limited() != wanted {
            assert!(began.elapsed() < TIMEOUT, "{what}");
        }
    };
    let stop = Arc::new(AtomicBool::new(false));
    let readers = start_readers(&fleet, &stop);
    until("reads are not limited during the overload", true);
    let served = (0..40).filter(|n| {
        let answer = writer.ask(&format!("WRITE t2 k{}", n + 1));
        answer.iter().any(|line| line.starts_with("SETTLED"))
    });
    let served = served.count();
    stop.store(true, Ordering::Relaxed);
    readers.into_iter().for_each(|reader| reader.join().expect("session stays open"));
    assert!(served >= 36, "{served} of 40 writes succeeded at the first attempt");
    until("reads are still limited after the overload", false);
}
