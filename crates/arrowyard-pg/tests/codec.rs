//! The codec on whole, cut and hostile input.

use arrowyard_pg::*;
use bytes::{BufMut, Bytes, BytesMut};
use proptest::prelude::*;

const MOST: usize = 4096;

fn message(letter: u8, body: &[u8]) -> Vec<u8> {
    [&[letter][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// All that a host's messages decode to, however the bytes are cut into two pieces.
fn heard(bytes: &[u8], cut: usize) -> Result<Vec<BackendMessage>, ProtocolError> {
    let (mut came, mut all) = (BytesMut::new(), Vec::new());
    for piece in [&bytes[..cut], &bytes[cut..]] {
        came.extend_from_slice(piece);
        while let Some(one) = BackendMessage::decode(&mut came, MOST, MOST / 8)? {
            all.push(one);
        }
    }
    assert!(came.is_empty(), "bytes are left");
    Ok(all)
}

fn row(value: &[u8]) -> Bytes {
    let mut row = BytesMut::new();
    row.put_u16(1);
    row.put_i32(value.len() as i32);
    row.put_slice(value);
    row.freeze()
}

#[test]
fn a_whole_answer_is_heard_wherever_it_is_cut() {
    let answer = QueryResult {
        row_description: Bytes::from_static(
            b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01",
        ),
        data_row: row(b"\0\x9f\x03"),
        command_complete: Bytes::from_static(b"SELECT 1\0"),
    };
    let mut bytes = BytesMut::new();
    for (name, told) in
        [("mode", "read-only"), ("wal_time", "1767225600123"), ("stats", "inflight=7,util=0.61")]
    {
        bytes.extend_from_slice(&message(b'S', format!("{name}\0{told}\0").as_bytes()));
    }
    answer.put(&mut bytes);
    bytes.extend_from_slice(&message(b'E', b"SERROR\0C72000\0Mtoo far behind\0\0"));
    put_ready_for_query(&mut bytes);
    let wanted = vec![
        BackendMessage::ParameterStatus(ParameterStatus::AccessMode(AccessMode::ReadOnly)),
        BackendMessage::ParameterStatus(ParameterStatus::Position(1_767_225_600_123)),
        BackendMessage::ParameterStatus(ParameterStatus::LoadReport(vec![
            ("inflight".to_string(), 7.0),
            ("util".to_string(), 0.61),
        ])),
        BackendMessage::RowDescription(answer.row_description.clone()),
        BackendMessage::DataRow(answer.data_row.clone()),
        BackendMessage::CommandComplete(answer.command_complete.clone()),
        BackendMessage::ErrorResponse("72000".to_string()),
        BackendMessage::ReadyForQuery,
    ];
    for cut in 0..bytes.len() {
        assert_eq!(heard(&bytes, cut).as_ref(), Ok(&wanted), "cut at {cut}");
    }
    assert_eq!(single_value(&answer.data_row).as_deref(), Some(&b"\0\x9f\x03"[..]));
}

#[test]
fn a_client_is_understood_wherever_its_bytes_are_cut() {
    let mut bytes = BytesMut::new();
    put_startup_packet(&mut bytes, "web", "orders");
    let opening = bytes.len();
    put_query(&mut bytes, "SELECT 1");
    bytes.extend_from_slice(&message(b'X', b""));
    for cut in 0..bytes.len() {
        let mut came = BytesMut::from(&bytes[..cut]);
        let first = StartupPacket::decode(&mut came, MOST).unwrap();
        assert_eq!(first, (cut >= opening).then_some(StartupPacket::Startup), "cut at {cut}");
        came.extend_from_slice(&bytes[cut..]);
        if first.is_none() {
            assert_eq!(StartupPacket::decode(&mut came, MOST), Ok(Some(StartupPacket::Startup)));
        }
        assert_eq!(
            FrontendMessage::decode(&mut came, MOST),
            Ok(Some(FrontendMessage::Query("SELECT 1".to_string())))
        );
        assert_eq!(FrontendMessage::decode(&mut came, MOST), Ok(Some(FrontendMessage::Terminate)));
        assert_eq!(FrontendMessage::decode(&mut came, MOST), Ok(None));
    }
}

#[test]
fn hostile_lengths_are_refused_before_anything_is_kept() {
    for length in [0, 3, MOST as u32 + 1, i32::MAX as u32, u32::MAX] {
        let bytes = [&b"Q"[..], &length.to_be_bytes()].concat();
        assert!(FrontendMessage::decode(&mut BytesMut::from(&bytes[..]), MOST).is_err(), "{length}");
        assert!(BackendMessage::decode(&mut BytesMut::from(&bytes[..]), MOST, MOST / 8).is_err(), "{length}");
        assert!(StartupPacket::decode(&mut BytesMut::from(&bytes[1..]), MOST).is_err(), "{length}");
    }
    // Of another kind, too long for its kind, or a row whose value does not fit it: known before all has come.
    let row =
        |length: u32, inner: u32| [&b"D"[..], &length.to_be_bytes(), &[0, 1], &inner.to_be_bytes()].concat();
    for head in [b"x".to_vec(), [&b"T"[..], &(MOST as u32).to_be_bytes()].concat(), row(900, 3), row(14, 900)]
    {
        assert!(BackendMessage::decode(&mut BytesMut::from(&head[..]), MOST, MOST / 8).is_err(), "{head:?}");
    }
    for (letter, body) in
        [(b'T', &b"\0\x02payload\0"[..]), (b'T', b"\0\x01payload\0\0"), (b'C', b"SELECT 1"), (b'C', b"")]
    {
        assert!(heard(&message(letter, body), 0).is_err(), "{body:?}");
    }
    for spoilt in ["", "x0", "x0=", "x0=1,x1", "x0=1e999,x1=0", "x0=NaN"] {
        assert_eq!(parse_load_report(spoilt), None, "{spoilt}");
    }
    // A length inside a row that points past its end, before its start, or at no value.
    for inner in [3_i32, i32::MAX, i32::MIN, -1] {
        let body = [&[0, 1][..], &inner.to_be_bytes(), b"ab"].concat();
        assert_eq!(single_value(&Bytes::from(body.clone())), None, "{inner}");
        assert!(heard(&message(b'D', &body), 0).is_err(), "{inner}");
    }
}

#[test]
fn a_statement_tells_what_its_comment_says() {
    let text = "/* id=9b1f03aa5c7e2d41,c=basket,t=acme,d=480,cluster=2,after=1767225600123,r=1 */ \
                SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655'";
    let told = Statement::parse(text.to_string()).unwrap();
    assert_eq!((told.op_type.as_str(), told.tenant.as_deref()), ("basket", Some("acme")));
    assert_eq!(
        (told.timeout_ms, told.group, told.last_commit_ms, told.is_retry),
        (480, 2, Some(1_767_225_600_123), true)
    );
    assert_eq!(told.session_key, Some(0x7f3a_9c21_e0b4_d655));
    for wrong in
        ["", "SELECT 1", "/* id=1,c=a,d=5", "/* c=a,d=5 */", "/* id=1,d=5 */", "/* id=1,c=a */", "x /**/"]
    {
        assert!(Statement::parse(wrong.to_string()).is_err(), "{wrong}");
    }
    for wait in ["", "-1", "x", "99999999999999999999"] {
        assert!(Statement::parse(format!("/* id=1,c=a,d={wait} */ SELECT 1")).is_err(), "{wait}");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_taken_or_refused_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = heard_some(&bytes);
        let _ = StartupPacket::decode(&mut BytesMut::from(&bytes[..]), MOST);
        let _ = FrontendMessage::decode(&mut BytesMut::from(&bytes[..]), MOST);
        let _ = Statement::parse(String::from_utf8_lossy(&bytes).into_owned());
        let _ = parse_load_report(&String::from_utf8_lossy(&bytes));
        let _ = single_value(&Bytes::from(bytes));
    }

    #[test]
    fn any_body_of_a_known_letter_is_taken_or_refused(
        letter in prop::sample::select(b"RSTDCIEZNKA".to_vec()),
        body in prop::collection::vec(any::<u8>(), 0..60),
    ) {
        let _ = heard_some(&message(letter, &body));
    }

    #[test]
    fn a_statement_passes_on_unchanged_but_for_its_time(
        id in "[0-9a-f]{16}", spaces in " {0,2}", wait in 0_u32..100_000, new in 0_u64..100_000,
        rest in "[ -~é]{0,40}",
    ) {
        let text = |wait: u64| format!("/* id={id},c=a,{spaces}d={wait}{spaces},cluster=3 */{rest}");
        let told = Statement::parse(text(wait.into())).unwrap();
        prop_assert_eq!(told.timeout_ms, wait);
        let mut sent = BytesMut::new();
        told.put_query(&mut sent, new);
        prop_assert_eq!(FrontendMessage::decode(&mut sent, MOST), Ok(Some(FrontendMessage::Query(text(new)))));
    }

    #[test]
    fn a_row_gives_back_its_value(told in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert_eq!(single_value(&row(&told)).unwrap(), told);
    }
}

fn heard_some(bytes: &[u8]) -> Result<usize, ProtocolError> {
    let (mut came, mut count) = (BytesMut::from(bytes), 0);
    while BackendMessage::decode(&mut came, MOST, MOST / 8)?.is_some() {
        count += 1;
    }
    Ok(count)
}
