//! Frame reassembly compared with a naive implementation, under loss, duplication, reordering and
//! frames of other attempts.

use bitternlead::entry::assembly::{Assembly, FrameEvent};
use bitternlead::wire::envelope::Body;
use bitternlead::wire::{Chunk, End};
use proptest::prelude::*;

fn chunk(request: &str, attempt: u32, offset: u64) -> Body {
    let data = format!("{request}{offset} ").into();
    Body::Chunk(Chunk { request: request.into(), attempt, offset, len: 1, data })
}

fn end(request: &str, attempt: u32, count: u64) -> Body {
    let finish = "stop".into();
    Body::End(End { request: request.into(), attempt, count, finish, load: None })
}

/// Returns the text that passes the reassembly, and whether the response ended as complete.
fn assemble(frames: &[Body]) -> (String, bool) {
    let mut assembly = Assembly::new("r", 2);
    let mut text = String::new();
    for frame in frames {
        match assembly.accept(frame.clone()) {
            FrameEvent::Data { data, .. } => text.push_str(std::str::from_utf8(&data).unwrap()),
            FrameEvent::End { .. } => return (text, true),
            FrameEvent::Gap => return (text, false),
            _ => {}
        }
    }
    (text, false)
}

/// Naive reassembly: accepts the frames of the attempt in order of arrival, one offset after the
/// other.
fn assemble_naively(frames: &[Body], count: u64) -> (String, bool) {
    let mut text = String::new();
    let mut next = 0;
    for frame in frames {
        match frame {
            Body::Chunk(c) if c.request == "r" && c.attempt == 2 && c.offset == next => {
                text.push_str(&format!("r{next} "));
                next += 1;
            }
            Body::Chunk(c) if c.request == "r" && c.attempt == 2 && c.offset > next => {
                return (text, false);
            }
            Body::End(e) if e.request == "r" && e.attempt == 2 => {
                return (text, next == count);
            }
            _ => {}
        }
    }
    (text, false)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]
    #[test]
    fn a_response_is_never_mixed_or_truncated(
        count in 0u64..12,
        faults in prop::collection::vec((0u8..6, any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..6)
    ) {
        let mut frames: Vec<Body> = (0..count).map(|n| chunk("r", 2, n)).collect();
        frames.push(end("r", 2, count));
        for (kind, a, b) in faults {
            let (a, b) = (a.index(frames.len()), b.index(frames.len()));
            match kind {
                0 if frames.len() > 1 => { frames.remove(a); }
                1 => frames.insert(b, frames[a].clone()),
                2 => frames.swap(a, b),
                3 => frames.insert(a, chunk("other", 2, b as u64)),
                4 => frames.insert(a, chunk("r", 1, b as u64)),
                _ => frames.insert(a, end("r", 1, count)),
            }
        }
        let result = assemble(&frames);
        prop_assert_eq!(&result, &assemble_naively(&frames, count));
        if result.1 {
            let expected: String = (0..count).map(|n| format!("r{n} ")).collect();
            prop_assert_eq!(result.0, expected);
        }
    }
}

#[test]
fn frames_after_the_end_are_dropped() {
    let mut assembly = Assembly::new("r", 2);
    assert!(matches!(assembly.accept(end("r", 2, 0)), FrameEvent::End { .. }));
    assert_eq!(assembly.accept(chunk("r", 2, 0)), FrameEvent::Dropped);
}
