//! How long the requests of a route usually take.

/// The weight of a new time in the smoothed one.
const NEW_SHARE: f64 = 0.1;

/// The smoothed times of one route. Absent until there was a first answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualTimes {
    /// From the arrival of a request to its answer, in milliseconds.
    pub answer_ms: Option<f64>,
    /// At the target, in milliseconds.
    pub service_ms: Option<f64>,
}

impl UsualTimes {
    pub fn note_answer(&mut self, ms: f64) {
        self.answer_ms = Some(smoothed(self.answer_ms, ms));
    }

    pub fn note_service(&mut self, ms: f64) {
        self.service_ms = Some(smoothed(self.service_ms, ms));
    }
}

fn smoothed(usual_ms: Option<f64>, ms: f64) -> f64 {
    usual_ms.map_or(ms, |usual_ms| usual_ms + (ms - usual_ms) * NEW_SHARE)
}
