//! What whoever is on call is shown of a control machine's words, and of anything else.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use arrowyard_system::show::{View, fetch, render};

const STATUS: &str = r#"{"node":"core-0","revision":9,"slot":12,"votes":true,"voters":["10.0.0.1","10.0.0.2"],
    "controls":["10.0.0.2"],"routers-all":3,"routers":[{"node":"edge-0","revision":9},{"node":"edge-1","revision":7}],
    "hosts":[{"id":"i-2","service":"s0","zone":"z","phase":"in_service","db-role":"replica","silent":true},
    {"id":"i-1","service":"s0","zone":"z","phase":"draining","db-role":"primary","silent":false}],
    "divides":true,"shares":[{"host":"i-1","service":"postings","owed":"1.50","runs":"1.20","waits":"0.30","held":false,"pressed-ms":0},
    {"host":"i-1","service":"status","owed":"8.50","runs":"8.40","waits":"40.00","held":true,"pressed-ms":1200}],
    "duties":[{"duty":"promote","node":"core-1","fence":4}],"promotions":[{"service":"s0","stage":"it is steady"}]}"#;

#[test]
fn each_part_is_a_table() {
    let part = |part: &str| render(STATUS, part.parse().expect("a part")).expect("it can be read");
    let lines = |text: &str| text.lines().map(str::to_string).collect::<Vec<_>>();
    assert_eq!(
        lines(&part("routers")),
        ["router  serves by", "edge-1  7", "edge-0  9", "2 fed here, 1 not by revision 9 yet"]
    );
    assert_eq!(
        lines(&part("hosts")),
        [
            "service  id   db-role  phase       zone  silent",
            "s0       i-1  primary  draining    z     no",
            "s0       i-2  replica  in_service  z     yes"
        ]
    );
    assert!(part("members").contains("voters       10.0.0.1 10.0.0.2\n"));
    assert!(
        part("duties").contains("promote  core-1  4\n") && part("duties").contains("s0       it is steady\n")
    );
    assert_eq!(
        lines(&part("shares")),
        [
            "host  service   owed  runs  waits  held  pressed-ms",
            "i-1   postings  1.50  1.20  0.30   no    0",
            "i-1   status    8.50  8.40  40.00  yes   1200"
        ]
    );
    let calm = render(&STATUS.replace("\"divides\":true", "\"divides\":false"), View::Shares)
        .expect("it can be read");
    assert!(calm.contains("another machine"), "{calm}");
    assert!("everything".parse::<View>().is_err());
}

#[test]
fn other_words_are_told_with_their_place() {
    for (text, place) in [
        ("", "control machine"),
        ("<html>", "control machine"),
        ("[1]", "missing"),
        (r#"{"revision":1}"#, "routers is not a list"),
        (r#"{"revision":1,"routers":{}}"#, "routers is not a list"),
        (r#"{"revision":1,"routers":[{"node":"e"}]}"#, "revision is missing"),
        (r#"{"revision":[],"routers":[]}"#, "revision is neither"),
    ] {
        let fault = render(text, View::Routers).expect_err(text);
        assert!(fault.contains(place), "{text}: {fault}");
    }
    let every = [View::Members, View::Routers, View::Hosts, View::Duties];
    assert!(every.into_iter().all(|part| render("{}", part).is_err()));
}

/// Something else at the address, or an answer that breaks off, is told; nothing hangs.
#[test]
fn what_answers_otherwise_is_told() {
    for (answer, told) in [
        (&b"SSH-2.0-x\r\n"[..], "not a control machine"),
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", "404"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{", "incomplete"),
        (b"", "incomplete"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("it calls");
            let mut bytes = [0; 1024];
            assert!(stream.read(&mut bytes).is_ok_and(|count| bytes[..count].starts_with(b"GET /status ")));
            stream.write_all(answer).expect("it reads");
        });
        let fault = fetch(address).expect_err("no control machine is there");
        server.join().expect("it was called");
        assert!(fault.contains(told), "{fault}");
    }
}
