//! The typical response and service times of a route.

/// The weight of a new sample in the smoothed time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The smoothed times of one route. Absent until the first response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TypicalTimes {
    /// From the arrival of a request to its response, in milliseconds.
    pub response_ms: Option<f64>,
    /// The service time at the target, in milliseconds.
    pub service_ms: Option<f64>,
}

impl TypicalTimes {
    pub fn record_response(&mut self, ms: f64) {
        self.response_ms = Some(smoothed(self.response_ms, ms));
    }

    pub fn record_service(&mut self, ms: f64) {
        self.service_ms = Some(smoothed(self.service_ms, ms));
    }
}

fn smoothed(typical_ms: Option<f64>, ms: f64) -> f64 {
    typical_ms.map_or(ms, |typical_ms| typical_ms + (ms - typical_ms) * SAMPLE_WEIGHT)
}
