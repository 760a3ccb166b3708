//! Bit-packed list of integers.

/// Integers below a limit, each stored in the smallest power of two of bits.
///
/// A service with two upstreams takes one bit per bucket, so that 52,000 such
/// services fit in the memory of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PackedInts {
    words: Box<[u64]>,
    /// 1, 2, 4, 8, 16 or 32, so that no integer spans two words.
    bits_per_int: u8,
    len: u32,
}

impl PackedInts {
    /// Packs `numbers`, each of which must be less than `limit`.
    pub(crate) fn new(numbers: &[u32], limit: usize) -> Self {
        let bits = usize::BITS - limit.saturating_sub(1).leading_zeros();
        let bits_per_int = bits.max(1).next_power_of_two();
        let word = |part: &[u32]| {
            let numbers = part.iter().rev();
            numbers.fold(0, |word: u64, n| word << bits_per_int | u64::from(*n))
        };
        let per_word = (u64::BITS / bits_per_int) as usize;
        PackedInts {
            words: numbers.chunks(per_word).map(word).collect(),
            bits_per_int: u8::try_from(bits_per_int).expect("a number has at most 32 bits"),
            len: u32::try_from(numbers.len()).expect("at most 2^31 buckets"),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len as usize
    }

    /// The integer at index `at`, which must be less than `len`.
    pub(crate) fn get(&self, at: usize) -> usize {
        let bits_per_int = usize::from(self.bits_per_int);
        let bit = at * bits_per_int;
        let word = self.words[bit / 64] >> (bit % 64);
        #[allow(clippy::cast_possible_truncation)] // At most 32 bits are left.
        let number = (word & ((1 << bits_per_int) - 1)) as usize;
        number
    }
}
