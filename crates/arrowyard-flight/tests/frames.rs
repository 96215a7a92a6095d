//! Tracking of HTTP/2 frames, tested by example and against a model that has the frames as a list.

use arrowyard_flight::frames::{FrameTracker, RequestProgress};
use proptest::prelude::*;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

fn frame(frame_type: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = &(payload.len() as u32).to_be_bytes()[1..];
    [length, &[frame_type, flags], &stream.to_be_bytes(), payload].concat()
}

fn goaway(last_stream: u32) -> Vec<u8> {
    frame(7, 0, 0, &[&last_stream.to_be_bytes()[..], &[0; 4]].concat())
}

#[test]
fn a_request_is_written_with_the_last_byte_of_its_last_frame() {
    let mut tracker = FrameTracker::default();
    tracker.on_sent(PREFACE);
    tracker.track(1);
    tracker.on_sent(&frame(1, 4, 1, b"heads"));
    assert_eq!(tracker.progress(1), RequestProgress::Incomplete);
    let data = frame(0, 1, 1, &[9; 300]);
    for byte in &data[..data.len() - 1] {
        tracker.on_sent(&[*byte]);
        assert_eq!(tracker.progress(1), RequestProgress::Incomplete);
    }
    tracker.on_sent(&data[data.len() - 1..]);
    assert_eq!(tracker.progress(1), RequestProgress::Written);
    assert_eq!((tracker.untrack(1), tracker.tracked_streams()), (RequestProgress::Written, 0));
}

#[test]
fn streams_refused_or_beyond_goaway_did_not_run() {
    let mut tracker = FrameTracker::default();
    tracker.on_sent(PREFACE);
    assert!(!tracker.settings_received());
    tracker.on_received(&frame(4, 0, 0, &[]));
    assert!(tracker.settings_received() && !tracker.is_going_away());
    [1, 3, 5, 7].into_iter().for_each(|stream| tracker.track(stream));
    [1, 3, 5, 7].into_iter().for_each(|stream| tracker.on_sent(&frame(0, 1, stream, b"x")));
    // A reset with another error code proves nothing.
    tracker.on_received(&frame(3, 0, 1, &8_u32.to_be_bytes()));
    tracker.on_received(&frame(3, 0, 3, &7_u32.to_be_bytes()));
    assert_eq!(
        [1, 3].map(|stream| tracker.progress(stream)),
        [RequestProgress::Written, RequestProgress::Refused]
    );
    // A first GOAWAY frame may have the highest possible stream id, and a later one the last stream that the
    // host processes. A later frame with a higher id must not raise it.
    tracker.on_received(&goaway(0x7fff_ffff));
    assert!(tracker.is_going_away());
    assert_eq!(
        [5, 7].map(|stream| tracker.progress(stream)),
        [RequestProgress::Written, RequestProgress::Written]
    );
    tracker.on_received(&goaway(5));
    tracker.on_received(&goaway(9));
    assert_eq!(
        [5, 7].map(|stream| tracker.progress(stream)),
        [RequestProgress::Written, RequestProgress::Refused]
    );
    tracker.track(9);
    assert_eq!(tracker.progress(9), RequestProgress::Refused, "opened after GOAWAY");
}

#[derive(Clone, Debug)]
enum Step {
    Data(u32, usize),
    LastData(u32, usize),
    RefusedStream(u32),
    OtherReset(u32),
    GoAway(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let stream = || (0_u32..6).prop_map(|index| index * 2 + 1);
    prop::collection::vec(
        prop_oneof![
            (stream(), 0_usize..40).prop_map(|(stream, size)| Step::Data(stream, size)),
            (stream(), 0_usize..40).prop_map(|(stream, size)| Step::LastData(stream, size)),
            stream().prop_map(Step::RefusedStream),
            stream().prop_map(Step::OtherReset),
            (0_u32..14).prop_map(Step::GoAway),
        ],
        0..30,
    )
}

/// A fixed seed, so that every run tests the same cases.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// The progress of each stream depends on its frames, not on how their bytes are split.
    #[test]
    fn progress_does_not_depend_on_how_the_bytes_are_split(
        steps in steps(), sizes in prop::collection::vec(1_usize..50, 1..60),
    ) {
        let mut tracker = FrameTracker::default();
        let mut chunk_sizes = sizes.iter().cycle();
        let feed = |tracker: &mut FrameTracker, bytes: &[u8], is_sent: bool, chunk_sizes: &mut dyn Iterator<Item = &usize>| {
            let mut remaining = bytes;
            while !remaining.is_empty() {
                let size = (*chunk_sizes.next().expect("an endless cycle")).min(remaining.len());
                if is_sent { tracker.on_sent(&remaining[..size]) } else { tracker.on_received(&remaining[..size]) }
                remaining = &remaining[size..];
            }
        };
        feed(&mut tracker, PREFACE, true, &mut chunk_sizes);
        (0..6).for_each(|index| tracker.track(index * 2 + 1));
        let (mut finished, mut refused, mut last_stream) = (Vec::new(), Vec::new(), u32::MAX);
        for step in &steps {
            match *step {
                Step::Data(stream, size) => feed(&mut tracker, &frame(0, 0, stream, &vec![1; size]), true, &mut chunk_sizes),
                Step::LastData(stream, size) => {
                    feed(&mut tracker, &frame(0, 1, stream, &vec![1; size]), true, &mut chunk_sizes);
                    finished.push(stream);
                }
                Step::RefusedStream(stream) => {
                    feed(&mut tracker, &frame(3, 0, stream, &7_u32.to_be_bytes()), false, &mut chunk_sizes);
                    refused.push(stream);
                }
                Step::OtherReset(stream) => feed(&mut tracker, &frame(3, 0, stream, &2_u32.to_be_bytes()), false, &mut chunk_sizes),
                Step::GoAway(last) => {
                    feed(&mut tracker, &goaway(last), false, &mut chunk_sizes);
                    last_stream = last_stream.min(last);
                }
            }
        }
        for stream in (0..6).map(|index| index * 2 + 1) {
            let expected = if refused.contains(&stream) || stream > last_stream {
                RequestProgress::Refused
            } else if finished.contains(&stream) {
                RequestProgress::Written
            } else {
                RequestProgress::Incomplete
            };
            prop_assert_eq!(tracker.progress(stream), expected, "stream {}", stream);
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(sent in prop::collection::vec(any::<u8>(), 0..400), received in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut tracker = FrameTracker::default();
        tracker.track(1);
        tracker.on_sent(&sent);
        tracker.on_received(&received);
        prop_assert!(tracker.tracked_streams() == 1);
    }
}
