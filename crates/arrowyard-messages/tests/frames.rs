//! Frames come whole in whatever pieces; bytes that are none are refused without being held.

use arrowyard_messages::{FeedSnapshot, FrameDecoder, Heartbeat, Host, Payload, encode_payload};
use proptest::prelude::*;

proptest! {
    #[test]
    fn frames_come_whole_in_whatever_pieces(numbers in prop::collection::vec(any::<u64>(), 1..8), cut in 1usize..50) {
        let words: Vec<Payload> = numbers
            .iter()
            .map(|&number| Payload::FeedSnapshot(FeedSnapshot { number, hosts: vec![Host { id: format!("i-{number}"), ..Host::default() }], ..FeedSnapshot::default() }))
            .collect();
        let sent: Vec<u8> = words.iter().cloned().flat_map(encode_payload).collect();
        let (mut frames, mut read) = (FrameDecoder::default(), Vec::new());
        for piece in sent.chunks(cut) {
            frames.put(piece);
            while let Some(frame) = frames.take().expect("sound frames") {
                read.extend(frame.payload);
            }
        }
        prop_assert_eq!(read, words);
    }

    #[test]
    fn whatever_comes_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut frames = FrameDecoder::default();
        frames.put(&bytes);
        for _ in 0..200 {
            match frames.take() {
                Ok(Some(_)) => {}
                _ => break,
            }
        }
    }
}

#[test]
fn a_length_that_was_made_up_is_refused_at_once() {
    let mut frames = FrameDecoder::default();
    frames.put(&u32::MAX.to_be_bytes());
    assert!(frames.take().is_err());
    let mut frames = FrameDecoder::default();
    frames.put(&encode_payload(Payload::Heartbeat(Heartbeat::default())));
    assert!(frames.take().expect("a sound frame").is_some());
}
