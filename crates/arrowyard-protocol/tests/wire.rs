//! Line decoding and parsing of requests, statements and responses.

use arrowyard_protocol::{
    AccessMode, ExecutionStatus, FaultCode, LineDecoder, MAX_LINE_BYTES, Position, Request, Response,
    Statement, TransactionState,
};
use proptest::prelude::*;

proptest! {
    #[test]
    fn lines_are_decoded_from_arbitrary_chunks(lines in prop::collection::vec("[ -~]{0,40}", 0..12), cuts in prop::collection::vec(1usize..9, 1..200)) {
        let sent: Vec<u8> = lines.iter().flat_map(|line| [line.as_bytes(), b"\r\n"].concat()).collect();
        let (mut read, mut buffer, mut rest) = (Vec::new(), LineDecoder::default(), sent.as_slice());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            buffer.put(piece);
            rest = left;
            while let Some(line) = buffer.take().expect("short lines") {
                read.push(String::from_utf8(line.to_vec()).expect("UTF-8 line"));
            }
        }
        prop_assert_eq!(read, lines);
        prop_assert_eq!(buffer.waiting(), 0);
    }

    /// Guards against a line feed in a client's data that becomes a message of its own (UNASKED): only CR LF ends
    /// a message.
    #[test]
    fn lines_of_any_bytes_are_decoded_from_arbitrary_chunks(
        lines in prop::collection::vec(prop::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>()], 0..40), 0..12),
        cuts in prop::collection::vec(1usize..9, 1..200),
    ) {
        let lines: Vec<Vec<u8>> = lines.into_iter().map(without_terminators).collect();
        let sent: Vec<u8> = lines.iter().flat_map(|line| [line.as_slice(), b"\r\n"].concat()).collect();
        let (mut read, mut buffer, mut rest) = (Vec::new(), LineDecoder::default(), sent.as_slice());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            buffer.put(piece);
            rest = left;
            while let Some(line) = buffer.take().expect("short lines") {
                read.push(line.to_vec());
            }
        }
        prop_assert_eq!(read, lines);
        prop_assert_eq!(buffer.waiting(), 0);
    }

    #[test]
    fn arbitrary_lines_do_not_panic(line in "\\PC{0,60}") {
        let _ = Request::parse(&line);
        let _ = Response::parse(&line);
        let _ = Statement::parse(&line);
    }

    #[test]
    fn positions_compare_by_term_first(a in any::<(u32, u32)>(), b in any::<(u32, u32)>()) {
        let of = |(term, number): (u32, u32)| Position { term: term.into(), number: number.into() };
        prop_assert_eq!(of(a).cmp(&of(b)), a.cmp(&b));
        prop_assert_eq!(Position::parse(&of(a).to_string()), Some(of(a)));
    }
}

/// The same bytes without a line feed after a carriage return.
fn without_terminators(line: Vec<u8>) -> Vec<u8> {
    let mut kept = Vec::new();
    for byte in line {
        if byte != b'\n' || kept.last() != Some(&b'\r') {
            kept.push(byte);
        }
    }
    kept
}

/// Guards against the rejection of a message of the maximum length whose terminator arrives in two parts.
#[test]
fn a_line_of_the_maximum_length_is_decoded_from_any_two_chunks_of_its_end() {
    for cut in 0..=2 {
        let mut lines = LineDecoder::default();
        let message = [vec![b'x'; MAX_LINE_BYTES], b"\r\n".to_vec()].concat();
        let (first, second) = message.split_at(MAX_LINE_BYTES + cut);
        lines.put(first);
        if cut < 2 {
            assert_eq!(lines.take(), Ok(None), "{cut}");
        }
        lines.put(second);
        assert_eq!(lines.take().map(|line| line.map(|line| line.len())), Ok(Some(MAX_LINE_BYTES)), "{cut}");
    }
}

#[test]
fn unterminated_line_is_rejected_above_the_maximum() {
    let mut lines = LineDecoder::default();
    lines.put(&vec![b'x'; MAX_LINE_BYTES]);
    assert_eq!(lines.take(), Ok(None));
    lines.put(b"xx");
    assert!(lines.take().is_err());
}

#[test]
fn messages_are_parsed() {
    assert_eq!(
        Request::parse("OPEN lepu270 u3f1"),
        Some(Request::Open { database: "lepu270", user: "u3f1" })
    );
    let query = Request::parse("QUERY 5c0e7a21d94b36f8 AFTER 3.1207 READ 1a4");
    assert_eq!(query, Some(Request::Query { id: "5c0e7a21d94b36f8", text: "AFTER 3.1207 READ 1a4" }));
    let define = Statement::Define { name: "s1", mode: AccessMode::Write, shape: "q2c" };
    assert_eq!(Statement::parse("DEFINE s1 WRITE q2c"), Some(define));
    assert_eq!(
        Statement::parse("RUN s1 1a4 xkqpwnzd"),
        Some(Statement::Run { name: "s1", rest: "1a4 xkqpwnzd" })
    );
    assert_eq!(
        Response::parse("FAULT READONLY i-7f3a91c2"),
        Some(Response::Fault { code: FaultCode::ReadOnly, text: "i-7f3a91c2" })
    );
    let position = Some(Position { term: 3, number: 1209 });
    assert_eq!(
        Response::parse("IDLE E 3.1209"),
        Some(Response::Idle { state: TransactionState::Failed, position })
    );
    assert_eq!(
        Response::parse("IDLE I -"),
        Some(Response::Idle { state: TransactionState::Idle, position: None })
    );
}

#[test]
fn only_guaranteed_codes_count_as_not_run() {
    for code in ["SATURATED", "REVERTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD", "UNDEFINED"] {
        assert_eq!(FaultCode::parse(code).execution_status(), ExecutionStatus::NotRun, "{code}");
    }
    for code in ["UNKNOWN", "EXPIRED", "MALFORMED", "SOMETHING", ""] {
        assert_eq!(FaultCode::parse(code).execution_status(), ExecutionStatus::MayHaveRun, "{code}");
    }
    assert_eq!(FaultCode::parse("FAILED").execution_status(), ExecutionStatus::Ran);
}
