//! A deterministic source of random numbers.

use stackgw_router::api::Span;

/// SplitMix64.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub(crate) fn span(&mut self, min: Span, max: Span) -> Span {
        min + self.below((max - min).max(1) as u64) as Span
    }

    pub(crate) fn choose<T: Copy>(&mut self, items: &[T]) -> Option<T> {
        items.get(self.below(items.len() as u64) as usize).copied()
    }
}
