//! Rendering of the status of a control machine, and errors for invalid responses.

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
fn each_view_is_rendered_as_a_table() {
    let view = |view: &str| render(STATUS, view.parse().expect("known view")).expect("valid status");
    let lines = |text: &str| text.lines().map(str::to_string).collect::<Vec<_>>();
    assert_eq!(
        lines(&view("routers")),
        ["router  serves by", "edge-1  7", "edge-0  9", "2 fed here, 1 not by revision 9 yet"]
    );
    assert_eq!(
        lines(&view("hosts")),
        [
            "service  id   db-role  phase       zone  silent",
            "s0       i-1  primary  draining    z     no",
            "s0       i-2  replica  in_service  z     yes"
        ]
    );
    assert!(view("members").contains("voters       10.0.0.1 10.0.0.2\n"));
    assert!(
        view("duties").contains("promote  core-1  4\n") && view("duties").contains("s0       it is steady\n")
    );
    assert_eq!(
        lines(&view("shares")),
        [
            "host  service   owed  runs  waits  held  pressed-ms",
            "i-1   postings  1.50  1.20  0.30   no    0",
            "i-1   status    8.50  8.40  40.00  yes   1200"
        ]
    );
    let other_holder =
        render(&STATUS.replace("\"divides\":true", "\"divides\":false"), View::Shares).expect("valid status");
    assert!(other_holder.contains("another machine"), "{other_holder}");
    assert!("everything".parse::<View>().is_err());
}

#[test]
fn invalid_status_is_reported_with_the_field() {
    for (text, field) in [
        ("", "control machine"),
        ("<html>", "control machine"),
        ("[1]", "missing"),
        (r#"{"revision":1}"#, "routers is not a list"),
        (r#"{"revision":1,"routers":{}}"#, "routers is not a list"),
        (r#"{"revision":1,"routers":[{"node":"e"}]}"#, "revision is missing"),
        (r#"{"revision":[],"routers":[]}"#, "revision is neither"),
    ] {
        let error = render(text, View::Routers).expect_err(text);
        assert!(error.contains(field), "{text}: {error}");
    }
    let every = [View::Members, View::Routers, View::Hosts, View::Duties];
    assert!(every.into_iter().all(|view| render("{}", view).is_err()));
}

/// Unexpected and truncated responses are reported instead of waiting for more.
#[test]
fn unexpected_responses_are_reported() {
    for (response, message) in [
        (&b"SSH-2.0-x\r\n"[..], "not a control machine"),
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", "404"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{", "incomplete"),
        (b"", "incomplete"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("bound address");
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("accepts");
            let mut bytes = [0; 1024];
            assert!(stream.read(&mut bytes).is_ok_and(|count| bytes[..count].starts_with(b"GET /status ")));
            stream.write_all(response).expect("writes");
        });
        let error = fetch(address).expect_err("unexpected response");
        server.join().expect("server thread ends");
        assert!(error.contains(message), "{error}");
    }
}
