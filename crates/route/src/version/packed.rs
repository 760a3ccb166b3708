//! A list of small numbers in few bits.

/// Numbers below a limit, each in the least power of two of bits.
///
/// A service with two upstreams takes one bit for each bucket, so 52,000 such
/// services fit the memory of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Packed {
    words: Box<[u64]>,
    /// Bits of a number: 1, 2, 4, 8, 16 or 32, so that none spans two words.
    width: u8,
    len: u32,
}

impl Packed {
    /// Packs `numbers`, each of them below `limit`.
    pub(crate) fn new(numbers: &[u32], limit: usize) -> Self {
        let bits = usize::BITS - limit.saturating_sub(1).leading_zeros();
        let width = bits.max(1).next_power_of_two();
        let word = |part: &[u32]| {
            let numbers = part.iter().rev();
            numbers.fold(0, |word: u64, n| word << width | u64::from(*n))
        };
        let per_word = (u64::BITS / width) as usize;
        Packed {
            words: numbers.chunks(per_word).map(word).collect(),
            width: u8::try_from(width).expect("a number has at most 32 bits"),
            len: u32::try_from(numbers.len()).expect("at most 2^31 buckets"),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len as usize
    }

    /// The number at `at`, which is below `len`.
    pub(crate) fn get(&self, at: usize) -> usize {
        let width = usize::from(self.width);
        let bit = at * width;
        let word = self.words[bit / 64] >> (bit % 64);
        #[allow(clippy::cast_possible_truncation)] // At most 32 bits are left.
        let number = (word & ((1 << width) - 1)) as usize;
        number
    }
}
