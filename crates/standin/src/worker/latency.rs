//! Latency of the upstream's answers per measurement window.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use verbenahitch::port::LatencyReport;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Maximum recorded latency, in microseconds; longer ones count as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Latencies of the current window, by profile.
#[derive(Debug, Default)]
pub(super) struct Window {
    profiles: BTreeMap<String, Histogram<u64>>,
}

impl Window {
    pub(super) fn record(&mut self, profile: &str, latency: Duration) {
        if !self.profiles.contains_key(profile) {
            let empty = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
            let empty = empty.expect("the histogram limits are valid");
            self.profiles.insert(profile.to_owned(), empty);
        }
        if let Some(histogram) = self.profiles.get_mut(profile) {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
    }

    /// Ends the window and returns its report.
    pub(super) fn close(&mut self) -> Vec<LatencyReport> {
        let profiles = std::mem::take(&mut self.profiles);
        let report = |(profile, histogram): (String, Histogram<u64>)| LatencyReport {
            profile,
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
        };
        profiles.into_iter().map(report).collect()
    }
}
