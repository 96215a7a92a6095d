//! Frame decoding.

use arrowyard_messages::{FeedSnapshot, FrameDecoder, Heartbeat, Host, Payload, encode_payload};
use proptest::prelude::*;

proptest! {
    #[test]
    fn frames_are_decoded_from_arbitrary_chunks(numbers in prop::collection::vec(any::<u64>(), 1..8), cut in 1usize..50) {
        let payloads: Vec<Payload> = numbers
            .iter()
            .map(|&number| Payload::FeedSnapshot(FeedSnapshot { number, hosts: vec![Host { id: format!("i-{number}"), ..Host::default() }], ..FeedSnapshot::default() }))
            .collect();
        let sent: Vec<u8> = payloads.iter().cloned().flat_map(encode_payload).collect();
        let (mut decoder, mut read) = (FrameDecoder::default(), Vec::new());
        for piece in sent.chunks(cut) {
            decoder.put(piece);
            while let Some(frame) = decoder.take().expect("valid frames") {
                read.extend(frame.payload);
            }
        }
        prop_assert_eq!(read, payloads);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut decoder = FrameDecoder::default();
        decoder.put(&bytes);
        for _ in 0..200 {
            match decoder.take() {
                Ok(Some(_)) => {}
                _ => break,
            }
        }
    }
}

#[test]
fn oversized_length_is_rejected_before_the_frame_arrives() {
    let mut decoder = FrameDecoder::default();
    decoder.put(&u32::MAX.to_be_bytes());
    assert!(decoder.take().is_err());
    let mut decoder = FrameDecoder::default();
    decoder.put(&encode_payload(Payload::Heartbeat(Heartbeat::default())));
    assert!(decoder.take().expect("valid frame").is_some());
}
