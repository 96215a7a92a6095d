//! What frames prove of a send, against a plain model that has the frames as a list and knows which bytes have passed.

use arrowyard_flight::frames::{Frames, Sent};
use proptest::prelude::*;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = &(payload.len() as u32).to_be_bytes()[1..];
    [length, &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

fn goaway(last: u32) -> Vec<u8> {
    frame(7, 0, 0, &[&last.to_be_bytes()[..], &[0; 4]].concat())
}

#[test]
fn a_request_is_written_with_the_last_byte_of_its_last_frame_and_not_before() {
    let mut frames = Frames::default();
    frames.out(PREFACE);
    frames.watch(1);
    frames.out(&frame(1, 4, 1, b"heads"));
    assert_eq!(frames.sent(1), Sent::InPart);
    let data = frame(0, 1, 1, &[9; 300]);
    for byte in &data[..data.len() - 1] {
        frames.out(&[*byte]);
        assert_eq!(frames.sent(1), Sent::InPart);
    }
    frames.out(&data[data.len() - 1..]);
    assert_eq!(frames.sent(1), Sent::Wholly);
    assert_eq!((frames.forget(1), frames.watched()), (Sent::Wholly, 0));
}

#[test]
fn what_the_host_refused_or_left_behind_as_it_went_away_never_ran() {
    let mut frames = Frames::default();
    frames.out(PREFACE);
    assert!(!frames.settled());
    frames.back(&frame(4, 0, 0, &[]));
    assert!(frames.settled() && !frames.going());
    [1, 3, 5, 7].into_iter().for_each(|stream| frames.watch(stream));
    [1, 3, 5, 7].into_iter().for_each(|stream| frames.out(&frame(0, 1, stream, b"x")));
    // A reset for another reason proves nothing.
    frames.back(&frame(3, 0, 1, &8_u32.to_be_bytes()));
    frames.back(&frame(3, 0, 3, &7_u32.to_be_bytes()));
    assert_eq!([1, 3].map(|stream| frames.sent(stream)), [Sent::Wholly, Sent::Refused]);
    // First that it is going away at all, then up to where it came; the last word never takes back another.
    frames.back(&goaway(0x7fff_ffff));
    assert!(frames.going());
    assert_eq!([5, 7].map(|stream| frames.sent(stream)), [Sent::Wholly, Sent::Wholly]);
    frames.back(&goaway(5));
    frames.back(&goaway(9));
    assert_eq!([5, 7].map(|stream| frames.sent(stream)), [Sent::Wholly, Sent::Refused]);
    frames.watch(9);
    assert_eq!(frames.sent(9), Sent::Refused, "it was opened too late, and no frame will say so");
}

#[derive(Clone, Debug)]
enum Step {
    Part(u32, usize),
    Last(u32, usize),
    Refuse(u32),
    Reset(u32),
    Away(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let stream = || (0_u32..6).prop_map(|n| n * 2 + 1);
    prop::collection::vec(
        prop_oneof![
            (stream(), 0_usize..40).prop_map(|(s, n)| Step::Part(s, n)),
            (stream(), 0_usize..40).prop_map(|(s, n)| Step::Last(s, n)),
            stream().prop_map(Step::Refuse),
            stream().prop_map(Step::Reset),
            (0_u32..14).prop_map(Step::Away),
        ],
        0..30,
    )
}

/// The same cases each time.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// However the bytes are cut up, the word on each stream is what its whole frames say, read one after the other.
    #[test]
    fn the_word_on_a_stream_does_not_hang_on_how_the_bytes_were_cut(
        steps in steps(), cuts in prop::collection::vec(1_usize..50, 1..60),
    ) {
        let mut frames = Frames::default();
        let mut pieces = cuts.iter().cycle();
        let feed = |frames: &mut Frames, bytes: &[u8], out: bool, pieces: &mut dyn Iterator<Item = &usize>| {
            let mut rest = bytes;
            while !rest.is_empty() {
                let now = (*pieces.next().expect("they come round")).min(rest.len());
                if out { frames.out(&rest[..now]) } else { frames.back(&rest[..now]) }
                rest = &rest[now..];
            }
        };
        feed(&mut frames, PREFACE, true, &mut pieces);
        (0..6).for_each(|n| frames.watch(n * 2 + 1));
        let (mut ended, mut refused, mut last) = (Vec::new(), Vec::new(), u32::MAX);
        for step in &steps {
            match *step {
                Step::Part(stream, size) => feed(&mut frames, &frame(0, 0, stream, &vec![1; size]), true, &mut pieces),
                Step::Last(stream, size) => {
                    feed(&mut frames, &frame(0, 1, stream, &vec![1; size]), true, &mut pieces);
                    ended.push(stream);
                }
                Step::Refuse(stream) => {
                    feed(&mut frames, &frame(3, 0, stream, &7_u32.to_be_bytes()), false, &mut pieces);
                    refused.push(stream);
                }
                Step::Reset(stream) => feed(&mut frames, &frame(3, 0, stream, &2_u32.to_be_bytes()), false, &mut pieces),
                Step::Away(named) => {
                    feed(&mut frames, &goaway(named), false, &mut pieces);
                    last = last.min(named);
                }
            }
        }
        for stream in (0..6).map(|n| n * 2 + 1) {
            let wanted = if refused.contains(&stream) || stream > last {
                Sent::Refused
            } else if ended.contains(&stream) {
                Sent::Wholly
            } else {
                Sent::InPart
            };
            prop_assert_eq!(frames.sent(stream), wanted, "stream {}", stream);
        }
    }

    #[test]
    fn no_bytes_whatsoever_upset_it(out in prop::collection::vec(any::<u8>(), 0..400), back in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut frames = Frames::default();
        frames.watch(1);
        frames.out(&out);
        frames.back(&back);
        prop_assert!(frames.watched() == 1);
    }
}
