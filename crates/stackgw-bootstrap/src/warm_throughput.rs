//! How many requests a second a warm member answers this instance: measured here, or estimated from what others measured.

/// What is known of a warm member's throughput, in requests a second.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WarmThroughput {
    /// By this instance's own measurements; 0: there are none yet.
    measured: f64,
    /// What others measured has been taken for a first estimate.
    is_seeded: bool,
}

impl WarmThroughput {
    /// By this instance's own measurements; 0: there are none yet.
    pub fn measured(&self) -> f64 {
        self.measured
    }

    /// Takes over what this instance has measured.
    pub fn set_measured(&mut self, throughput: f64) {
        self.measured = throughput;
    }

    /// Takes what others measured for a first estimate. Returns it the first time, and only before anything was measured here.
    pub fn seed(&mut self, throughput: f64) -> Option<f64> {
        let is_known = throughput > 0.0 && throughput.is_finite();
        if !is_known || self.measured > 0.0 || self.is_seeded {
            return None;
        }
        self.is_seeded = true;
        Some(throughput)
    }
}
