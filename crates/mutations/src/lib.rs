//! Seeded mutations of valid encodings, for tests that a decoder does not panic.
//!
//! ```
//! mutations::for_each(b"[1, 2]", |input| {
//!     let _ = std::str::from_utf8(input);
//! });
//! ```

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Number of mutated inputs for each valid one; the number of the case is its seed.
const CASES: u64 = 2000;

/// Depth of the nested values that are inserted, above the limits of the decoders.
const DEPTH: usize = 20_000;

/// Text and bytes that begin nested values: lists and maps of JSON and `MessagePack`.
const NESTED: [&[u8]; 4] = [b"[", br#"{"a":"#, &[0x91], &[0x81, 0xa1, b'a']];

/// Numbers at and beyond the limits of their types in JSON, and numbers and lengths in
/// `MessagePack`.
const EXTREMES: [&[u8]; 12] = [
    b"0",
    b"-1",
    b"18446744073709551615",
    b"18446744073709551616",
    b"-9223372036854775809",
    b"1e400",
    b"0.1e-400",
    &[0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0],
    &[0xc6, 0xff, 0xff, 0xff, 0xff],
    &[0xdd, 0xff, 0xff, 0xff, 0xff],
    &[0xdf, 0xff, 0xff, 0xff, 0xff],
];

/// Passes the valid input, each of its beginnings up to 256 bytes, and mutations of it to
/// a decoder: bytes changed, cut, repeated or replaced by deeply nested values and extreme
/// numbers.
///
/// # Panics
///
/// The decoder panics; the message names the case.
pub fn for_each(valid: &[u8], mut decode: impl FnMut(&[u8])) {
    decode(valid);
    for len in 0..valid.len().min(256) {
        decode(&valid[..len]);
    }
    for case in 0..CASES {
        let failed = Failed(case);
        decode(&mutate(valid, case));
        std::mem::forget(failed);
    }
}

/// Reports the case in which a decoder panics.
struct Failed(u64);

impl Drop for Failed {
    fn drop(&mut self) {
        eprintln!("the decoder failed on mutation {}", self.0);
    }
}

/// A valid input with one to four mutations, which depend on the seed alone.
#[must_use]
pub fn mutate(valid: &[u8], seed: u64) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut input = valid.to_vec();
    for _ in 0..rng.random_range(1..=4) {
        let part = random_part(&input, &mut rng);
        match rng.random_range(0..6) {
            0 => input[part].iter_mut().for_each(|byte| *byte = rng.random()),
            1 => input.truncate(part.start),
            2 => drop(input.drain(part)),
            3 => {
                let repeated = input[part.clone()].repeat(rng.random_range(1..=8));
                input.splice(part.start..part.start, repeated);
            }
            4 => {
                let number = EXTREMES[rng.random_range(0..EXTREMES.len())];
                input.splice(number_at(&input, part), number.iter().copied());
            }
            _ => {
                // Deep values are rare, because they make the input long.
                let depth = if rng.random_ratio(1, 16) { DEPTH } else { 3 };
                let nested = NESTED[rng.random_range(0..NESTED.len())].repeat(depth);
                input.splice(part, nested);
            }
        }
    }
    input
}

/// A short part of the input, which may be empty.
fn random_part(input: &[u8], rng: &mut StdRng) -> Range<usize> {
    let start = rng.random_range(0..=input.len());
    let len = rng.random_range(0..=16);
    start..input.len().min(start + len)
}

/// The digits of the first number in the text from a part on; the part if there is none.
fn number_at(input: &[u8], part: Range<usize>) -> Range<usize> {
    let is_digit = |byte: &u8| byte.is_ascii_digit();
    let Some(skipped) = input[part.start..].iter().position(is_digit) else {
        return part;
    };
    let start = part.start + skipped;
    let digits = input[start..].iter().take_while(|byte| is_digit(byte));
    start..start + digits.count()
}
