//! Seeded random numbers, so that a kernel's decisions are reproducible.

/// A SplitMix64 generator.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// Creates a generator. The same seed yields the same sequence.
    #[must_use]
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }
}
