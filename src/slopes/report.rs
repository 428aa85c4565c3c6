//! Lines fitted through measured points, and memory readings.

use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// The least-squares line through points, with the largest distance of a point from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// The increase per unit.
    pub slope: f64,
    /// The value at zero units.
    pub base: f64,
    /// The largest distance of a point from the line, in the measured unit.
    pub error: f64,
}

impl Fit {
    /// Fits a line to `points`; `None` with fewer than two different units.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let base = y - slope * x;
        let distance = |point: &(f64, f64)| (point.1 - base - slope * point.0).abs();
        let error = points.iter().map(distance).fold(0.0, f64::max);
        Some(Self { slope, base, error })
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} each, {:.0} without any, largest error {:.0}",
            self.slope, self.base, self.error
        )
    }
}

/// Resident memory at a number of items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Level {
    /// The number of items.
    pub count: usize,
    /// The median reading in bytes.
    pub bytes: u64,
    /// The difference between the highest and the lowest reading, in bytes.
    pub spread: u64,
}

impl Level {
    /// Returns the level as a point of a [`Fit`].
    pub fn point(&self) -> (f64, f64) {
        (self.count as f64, self.bytes as f64)
    }
}

/// Reads memory several times by `read`, because other threads of the process use some too.
pub fn level(count: usize, read: impl Fn() -> u64) -> Level {
    const READINGS: usize = 5;
    const READING_INTERVAL: Duration = Duration::from_millis(20);
    let mut readings = [0; READINGS];
    for reading in &mut readings {
        *reading = read();
        std::thread::sleep(READING_INTERVAL);
    }
    readings.sort_unstable();
    Level {
        count,
        bytes: readings[READINGS / 2],
        spread: readings[READINGS - 1] - readings[0],
    }
}
