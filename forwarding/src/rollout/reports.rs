//! Roll-outs in the reports that gateways exchange.

use std::time::Duration;

use rhubarbrock_schema::gossip;

use super::evidence::{RouteEvidence, Tally};
use super::{Order, Phase, Record, Rollouts};

impl Rollouts {
    /// Rows for a report.
    pub fn to_report(&self, now: Duration) -> Vec<gossip::Rollout> {
        let rows = self.services.iter().map(|(service, state)| {
            let mut row = gossip::Rollout {
                service: service.clone(),
                order_position: state.order_position,
                grants: state.grants_until.is_some_and(|until| now < until),
                ..gossip::Rollout::default()
            };
            if let Some(order) = &state.order {
                row.ordered_version.clone_from(&order.to);
                row.ordered_duration_ms = order.duration.as_millis() as u64;
            }
            if let Some(record) = &state.record {
                row.version.clone_from(&record.order.to);
                row.duration_ms = record.order.duration.as_millis() as u64;
                row.revision = record.revision;
                row.phase = encode_phase(record.phase);
                row.ordered_at_ms = record.ordered_at.as_millis() as u64;
                row.barred = record.barred.iter().cloned().collect();
                row.reason.clone_from(&record.reason);
                if !record.phase.is_final() {
                    let evidence = state.evidence.iter();
                    row.evidence =
                        evidence.map(|(route, each)| encode_evidence(route, each)).collect();
                }
            }
            row
        });
        rows.collect()
    }

    /// Takes the rows of another gateway's report.
    pub fn on_report(&mut self, now: Duration, rows: &[gossip::Rollout]) {
        for row in rows {
            let order = (!row.ordered_version.is_empty()).then(|| Order {
                service: row.service.clone(),
                to: row.ordered_version.clone(),
                duration: Duration::from_millis(row.ordered_duration_ms),
            });
            if row.order_position > 0 {
                self.on_order(now, &row.service, order, row.order_position);
            }
            if let Some(record) = decode_record(row) {
                self.on_record(record);
            }
            if row.grants {
                self.on_grant(now, &row.service, row.revision);
            }
        }
    }
}

fn encode_phase(phase: Phase) -> u32 {
    match phase {
        Phase::Trial => 1,
        Phase::Switch => 2,
        Phase::Completed => 3,
        Phase::RolledBack => 4,
    }
}

fn decode_record(row: &gossip::Rollout) -> Option<Record> {
    let phase = match row.phase {
        1 => Phase::Trial,
        2 => Phase::Switch,
        3 => Phase::Completed,
        4 => Phase::RolledBack,
        _ => return None,
    };
    Some(Record {
        order: record_order(row)?,
        revision: row.revision,
        phase,
        ordered_at: Duration::from_millis(row.ordered_at_ms),
        barred: row.barred.iter().cloned().collect(),
        reason: row.reason.clone(),
    })
}

/// Order of the record in a row.
pub(super) fn record_order(row: &gossip::Rollout) -> Option<Order> {
    (row.revision > 0).then(|| Order {
        service: row.service.clone(),
        to: row.version.clone(),
        duration: Duration::from_millis(row.duration_ms),
    })
}

fn encode_evidence(route: &str, evidence: &RouteEvidence) -> gossip::RolloutEvidence {
    let RouteEvidence { old, new } = evidence;
    gossip::RolloutEvidence {
        route: route.to_owned(),
        old: Some(encode_tally(old)),
        new: Some(encode_tally(new)),
    }
}

fn encode_tally(tally: &Tally) -> gossip::AnswerTally {
    let Tally { answers, failures, timed, slow } = *tally;
    gossip::AnswerTally { answers, failures, timed, slow }
}

pub(super) fn decode_evidence(row: &gossip::RolloutEvidence) -> RouteEvidence {
    RouteEvidence { old: decode_tally(row.old), new: decode_tally(row.new) }
}

fn decode_tally(tally: Option<gossip::AnswerTally>) -> Tally {
    let gossip::AnswerTally { answers, failures, timed, slow } = tally.unwrap_or_default();
    Tally { answers, failures, timed, slow }
}
