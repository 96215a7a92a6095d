//! The codec with complete, split and malformed input.

use arrowyard_pg::*;
use bytes::{BufMut, Bytes, BytesMut};
use proptest::prelude::*;

const MAX_BYTES: usize = 4096;

fn message(type_byte: u8, body: &[u8]) -> Vec<u8> {
    [&[type_byte][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Decodes a host's messages, received in two pieces split at `split_at`.
fn decode_split(bytes: &[u8], split_at: usize) -> Result<Vec<BackendMessage>, ProtocolError> {
    let (mut received, mut messages) = (BytesMut::new(), Vec::new());
    for piece in [&bytes[..split_at], &bytes[split_at..]] {
        received.extend_from_slice(piece);
        while let Some(message) = BackendMessage::decode(&mut received, MAX_BYTES, MAX_BYTES / 8)? {
            messages.push(message);
        }
    }
    assert!(received.is_empty(), "undecoded bytes remain");
    Ok(messages)
}

fn row(value: &[u8]) -> Bytes {
    let mut row = BytesMut::new();
    row.put_u16(1);
    row.put_i32(value.len() as i32);
    row.put_slice(value);
    row.freeze()
}

#[test]
fn host_messages_decode_the_same_wherever_the_input_is_split() {
    let result = QueryResult {
        row_description: Bytes::from_static(
            b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01",
        ),
        data_row: row(b"\0\x9f\x03"),
        command_complete: Bytes::from_static(b"SELECT 1\0"),
    };
    let mut bytes = BytesMut::new();
    for (name, value) in
        [("mode", "read-only"), ("wal_time", "1767225600123"), ("stats", "inflight=7,util=0.61")]
    {
        bytes.extend_from_slice(&message(b'S', format!("{name}\0{value}\0").as_bytes()));
    }
    result.put(&mut bytes);
    bytes.extend_from_slice(&message(b'E', b"SERROR\0C72000\0Mtoo far behind\0\0"));
    put_ready_for_query(&mut bytes);
    let expected = vec![
        BackendMessage::ParameterStatus(ParameterStatus::AccessMode(AccessMode::ReadOnly)),
        BackendMessage::ParameterStatus(ParameterStatus::Position(1_767_225_600_123)),
        BackendMessage::ParameterStatus(ParameterStatus::LoadReport(vec![
            ("inflight".to_string(), 7.0),
            ("util".to_string(), 0.61),
        ])),
        BackendMessage::RowDescription(result.row_description.clone()),
        BackendMessage::DataRow(result.data_row.clone()),
        BackendMessage::CommandComplete(result.command_complete.clone()),
        BackendMessage::ErrorResponse("72000".to_string()),
        BackendMessage::ReadyForQuery,
    ];
    for split_at in 0..bytes.len() {
        assert_eq!(decode_split(&bytes, split_at).as_ref(), Ok(&expected), "split at {split_at}");
    }
    assert_eq!(single_value(&result.data_row).as_deref(), Some(&b"\0\x9f\x03"[..]));
}

#[test]
fn client_messages_decode_the_same_wherever_the_input_is_split() {
    let mut bytes = BytesMut::new();
    put_startup_packet(&mut bytes, "web", "orders");
    let startup_bytes = bytes.len();
    put_query(&mut bytes, "SELECT 1");
    bytes.extend_from_slice(&message(b'X', b""));
    for split_at in 0..bytes.len() {
        let mut received = BytesMut::from(&bytes[..split_at]);
        let packet = StartupPacket::decode(&mut received, MAX_BYTES).unwrap();
        assert_eq!(
            packet,
            (split_at >= startup_bytes).then_some(StartupPacket::Startup),
            "split at {split_at}"
        );
        received.extend_from_slice(&bytes[split_at..]);
        if packet.is_none() {
            assert_eq!(StartupPacket::decode(&mut received, MAX_BYTES), Ok(Some(StartupPacket::Startup)));
        }
        assert_eq!(
            FrontendMessage::decode(&mut received, MAX_BYTES),
            Ok(Some(FrontendMessage::Query("SELECT 1".to_string())))
        );
        assert_eq!(FrontendMessage::decode(&mut received, MAX_BYTES), Ok(Some(FrontendMessage::Terminate)));
        assert_eq!(FrontendMessage::decode(&mut received, MAX_BYTES), Ok(None));
    }
}

#[test]
fn invalid_lengths_are_rejected_before_the_message_is_complete() {
    for length in [0, 3, MAX_BYTES as u32 + 1, i32::MAX as u32, u32::MAX] {
        let bytes = [&b"Q"[..], &length.to_be_bytes()].concat();
        assert!(FrontendMessage::decode(&mut BytesMut::from(&bytes[..]), MAX_BYTES).is_err(), "{length}");
        assert!(
            BackendMessage::decode(&mut BytesMut::from(&bytes[..]), MAX_BYTES, MAX_BYTES / 8).is_err(),
            "{length}"
        );
        assert!(StartupPacket::decode(&mut BytesMut::from(&bytes[1..]), MAX_BYTES).is_err(), "{length}");
    }
    // An unknown type, a message too long for its type, and rows whose value length contradicts the message
    // length are rejected by their first bytes.
    let row = |length: u32, value_length: u32| {
        [&b"D"[..], &length.to_be_bytes(), &[0, 1], &value_length.to_be_bytes()].concat()
    };
    for prefix in
        [b"x".to_vec(), [&b"T"[..], &(MAX_BYTES as u32).to_be_bytes()].concat(), row(900, 3), row(14, 900)]
    {
        assert!(
            BackendMessage::decode(&mut BytesMut::from(&prefix[..]), MAX_BYTES, MAX_BYTES / 8).is_err(),
            "{prefix:?}"
        );
    }
    for (type_byte, body) in
        [(b'T', &b"\0\x02payload\0"[..]), (b'T', b"\0\x01payload\0\0"), (b'C', b"SELECT 1"), (b'C', b"")]
    {
        assert!(decode_split(&message(type_byte, body), 0).is_err(), "{body:?}");
    }
    for malformed in ["", "x0", "x0=", "x0=1,x1", "x0=1e999,x1=0", "x0=NaN"] {
        assert_eq!(parse_load_report(malformed), None, "{malformed}");
    }
    // Value lengths past the end of the row, negative ones, and -1 for null.
    for value_length in [3_i32, i32::MAX, i32::MIN, -1] {
        let body = [&[0, 1][..], &value_length.to_be_bytes(), b"ab"].concat();
        assert_eq!(single_value(&Bytes::from(body.clone())), None, "{value_length}");
        assert!(decode_split(&message(b'D', &body), 0).is_err(), "{value_length}");
    }
}

#[test]
fn a_statement_is_parsed_from_its_comment() {
    let text = "/* id=9b1f03aa5c7e2d41,c=basket,t=acme,d=480,cluster=2,after=1767225600123,r=1 */ \
                SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655'";
    let statement = Statement::parse(text.to_string()).unwrap();
    assert_eq!((statement.op_type.as_str(), statement.tenant.as_deref()), ("basket", Some("acme")));
    assert_eq!(
        (statement.timeout_ms, statement.group, statement.last_commit_ms, statement.is_retry),
        (480, 2, Some(1_767_225_600_123), true)
    );
    assert_eq!(statement.session_key, Some(0x7f3a_9c21_e0b4_d655));
    for malformed in
        ["", "SELECT 1", "/* id=1,c=a,d=5", "/* c=a,d=5 */", "/* id=1,d=5 */", "/* id=1,c=a */", "x /**/"]
    {
        assert!(Statement::parse(malformed.to_string()).is_err(), "{malformed}");
    }
    for timeout in ["", "-1", "x", "99999999999999999999"] {
        assert!(Statement::parse(format!("/* id=1,c=a,d={timeout} */ SELECT 1")).is_err(), "{timeout}");
    }
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = count_decoded(&bytes);
        let _ = StartupPacket::decode(&mut BytesMut::from(&bytes[..]), MAX_BYTES);
        let _ = FrontendMessage::decode(&mut BytesMut::from(&bytes[..]), MAX_BYTES);
        let _ = Statement::parse(String::from_utf8_lossy(&bytes).into_owned());
        let _ = parse_load_report(&String::from_utf8_lossy(&bytes));
        let _ = single_value(&Bytes::from(bytes));
    }

    #[test]
    fn decoding_arbitrary_bodies_of_known_types_does_not_panic(
        type_byte in prop::sample::select(b"RSTDCIEZNKA".to_vec()),
        body in prop::collection::vec(any::<u8>(), 0..60),
    ) {
        let _ = count_decoded(&message(type_byte, &body));
    }

    #[test]
    fn a_statement_is_forwarded_unchanged_except_for_its_timeout(
        id in "[0-9a-f]{16}", spaces in " {0,2}", timeout in 0_u32..100_000, new_timeout in 0_u64..100_000,
        rest in "[ -~é]{0,40}",
    ) {
        let text = |timeout: u64| format!("/* id={id},c=a,{spaces}d={timeout}{spaces},cluster=3 */{rest}");
        let statement = Statement::parse(text(timeout.into())).unwrap();
        prop_assert_eq!(statement.timeout_ms, timeout);
        let mut sent = BytesMut::new();
        statement.put_query(&mut sent, new_timeout);
        prop_assert_eq!(FrontendMessage::decode(&mut sent, MAX_BYTES), Ok(Some(FrontendMessage::Query(text(new_timeout)))));
    }

    #[test]
    fn the_value_of_a_row_is_returned(expected in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert_eq!(single_value(&row(&expected)).unwrap(), expected);
    }
}

fn count_decoded(bytes: &[u8]) -> Result<usize, ProtocolError> {
    let (mut received, mut count) = (BytesMut::from(bytes), 0);
    while BackendMessage::decode(&mut received, MAX_BYTES, MAX_BYTES / 8)?.is_some() {
        count += 1;
    }
    Ok(count)
}
