//! How long the requests of a route usually take.

/// The weight of a new time in the smoothed one.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The smoothed times of one route. Absent until there was a first answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TypicalTimes {
    /// From the arrival of a request to its answer, in milliseconds.
    pub response_ms: Option<f64>,
    /// At the target, in milliseconds.
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
