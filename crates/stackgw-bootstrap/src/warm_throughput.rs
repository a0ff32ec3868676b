//! The requests per second that a warm member answers this instance: measured locally, or estimated from measurements of peers.

/// The known throughput of a warm member, in requests per second.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WarmThroughput {
    /// Measured by this instance; 0 if there are no measurements yet.
    measured: f64,
    /// An initial estimate has been set.
    is_seeded: bool,
}

impl WarmThroughput {
    /// Returns the throughput measured by this instance; 0 if there are no measurements yet.
    pub fn measured(&self) -> f64 {
        self.measured
    }

    /// Sets the throughput measured by this instance.
    pub fn set_measured(&mut self, throughput: f64) {
        self.measured = throughput;
    }

    /// Offers a throughput as the initial estimate. Returns it if it is accepted: only once, and only before this instance has
    /// measurements of its own.
    pub fn seed(&mut self, throughput: f64) -> Option<f64> {
        let is_known = throughput > 0.0 && throughput.is_finite();
        if !is_known || self.measured > 0.0 || self.is_seeded {
            return None;
        }
        self.is_seeded = true;
        Some(throughput)
    }
}
