//! Contents of the reports of other gateways.

use std::collections::HashMap;
use std::time::Duration;

use rhubarbrock_schema::gossip;

use super::Peer;
use crate::prompt_speed::PromptSamples;
use crate::quota::Standing;

/// Takes over what a brief report leaves out from the last complete report of the same gateway.
pub(super) fn complete_brief(report: &mut gossip::Report, known: &mut Peer, now: Duration) {
    let last = &mut known.report;
    report.is_brief = false;
    report.loads = std::mem::take(&mut last.loads);
    report.demands = last.demands.clone();
    report.standings = std::mem::take(&mut last.standings);
    report.arrivals = std::mem::take(&mut last.arrivals);
    report.suspects = std::mem::take(&mut last.suspects);
    report.prompt_suspects = std::mem::take(&mut last.prompt_suspects);
    let elapsed_ms = now.saturating_sub(known.heard_at).as_millis() as u32;
    for suspect in &mut report.suspects {
        let breaks = suspect.breaks.iter_mut().map(|each| &mut each.age_ms);
        let ages_ms = breaks.chain(suspect.finished_age_ms.as_mut());
        for age_ms in ages_ms.chain(suspect.refused_age_ms.as_mut()) {
            *age_ms = age_ms.saturating_add(elapsed_ms);
        }
    }
    for suspect in &mut report.prompt_suspects {
        let breaks = suspect.breaks.iter_mut().map(|each| &mut each.age_ms);
        let ages_ms = breaks.chain(suspect.finished_age_ms.as_mut());
        for age_ms in ages_ms.chain(suspect.refused_age_ms.as_mut()) {
            *age_ms = age_ms.saturating_add(elapsed_ms);
        }
    }
}

/// Means of the quota standings that gateways report, by organisation.
pub(super) fn mean_standings<'a>(
    peers: impl Iterator<Item = &'a Peer>,
) -> HashMap<String, Standing> {
    let mut sums: HashMap<String, (Standing, f64)> = HashMap::new();
    for each in peers.flat_map(|peer| &peer.report.standings) {
        let (sum, count) = sums.entry(each.organisation.clone()).or_default();
        sum.balance_units += each.balance_units as f64;
        sum.window_units += each.window_units as f64;
        *count += 1.0;
    }
    let means = sums.into_iter().map(|(organisation, (sum, count))| {
        let balance_units = sum.balance_units / count;
        (organisation, Standing { balance_units, window_units: sum.window_units / count })
    });
    means.collect()
}

pub(super) fn signed(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX)
}

pub(super) fn decode_samples(samples: &gossip::PromptSamples) -> PromptSamples {
    PromptSamples {
        count: samples.count,
        tokens: samples.tokens,
        latency_s: samples.latency_s,
        squared_tokens: samples.squared_tokens,
        squared_latency_s2: samples.squared_latency_s2,
        tokens_latency_s: samples.tokens_latency_s,
    }
}
