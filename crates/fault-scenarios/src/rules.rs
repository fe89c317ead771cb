//! The verdict on the rules of the platform, without violations that an injected fault explains.

use shorewharf_emulator::audit::{Reason, Rule, RuleViolation as Violation, Verdict as AuditVerdict};
use shorewharf_emulator::sockets::network_faults::{NetworkFault, NetworkFaultKind};
use shorewharf_units::{Micros, seconds_from_micros};

use crate::verdict::Verdict;

/// How long after its end a fault still excuses violations: requests sent during the fault are still being answered, and a
/// line counts as late after a second.
const EXCUSED_AFTER_END: Micros = 1_100_000;

/// How long a balancer may take to notice that its endpoint list is out of date, and to request it again.
const ENDPOINT_LIST_TIMEOUT: Micros = 6_000_000;

/// The verdict on the rules of the platform.
pub(crate) fn evaluate_rules(audit: &AuditVerdict, faults: &[NetworkFault]) -> Verdict {
    let is_excused = |violation: &&Violation| faults.iter().any(|fault| explains(fault, violation));
    let unexcused: Vec<&Violation> = audit.breaks.iter().filter(|violation| !is_excused(violation)).collect();
    // The auditor keeps only some violations of each reason. If all of those are excused, the others are excused too.
    let unexcused_reasons = audit
        .reasons
        .iter()
        .filter(|(reason, _)| unexcused.iter().any(|violation| violation.reason == **reason));
    let count: u64 = unexcused_reasons.map(|(_, count)| *count).sum();
    let observed = match unexcused.first() {
        None if audit.breaks.is_empty() => "kept".to_owned(),
        None => "kept, except for violations that injected faults explain".to_owned(),
        Some(first) => format!(
            "{count} violations; the first at {:.3} s by balancer {}: {}",
            seconds_from_micros(first.at),
            first.balancer,
            first.reason.text()
        ),
    };
    Verdict::new("rules", unexcused.is_empty(), observed, "no rule broken, no connection lost")
}

/// Whether a violation is the effect of an injected fault and not of the balancer.
fn explains(fault: &NetworkFault, violation: &Violation) -> bool {
    let is_affected = fault.balancers.iter().any(|balancer| balancer.0 == violation.balancer);
    let is_during = |extra: Micros| is_affected && (fault.from..=fault.to + extra).contains(&violation.at);
    match fault.kind {
        // A stopped process can't answer. For the content of what it sends after it continues, the balancer is responsible.
        NetworkFaultKind::ProcessStopped => {
            let is_of_missing_answer =
                matches!(violation.reason.rule(), Rule::NoRequestDropped | Rule::NoConnectionLost);
            is_during(EXCUSED_AFTER_END) && is_of_missing_answer && !is_of_content(violation.reason)
        }
        // Lines are held up by the half-open connection, not by the balancer.
        NetworkFaultKind::HalfOpen => {
            let is_on_connection =
                violation.node.is_some_and(|node| fault.nodes.iter().any(|affected| affected.0 == node));
            is_during(EXCUSED_AFTER_END) && is_on_connection && violation.reason == Reason::LineHeld
        }
        // The auditor counts an endpoint list as received 6 s after the watch fell silent, although it can't have arrived.
        NetworkFaultKind::EndpointListLost => {
            is_during(ENDPOINT_LIST_TIMEOUT) && violation.reason == Reason::SentToDraining
        }
        NetworkFaultKind::ConnectionsRefused
        | NetworkFaultKind::AnswersLost
        | NetworkFaultKind::ConnectionsReset
        | NetworkFaultKind::AnswersDelayed(_) => false,
        // No rule depends on gossip.
        NetworkFaultKind::GossipLost
        | NetworkFaultKind::GossipDuplicated
        | NetworkFaultKind::GossipDelayed(_) => false,
    }
}

/// Whether a violation is about the content of what the balancer sent, rather than about its time.
fn is_of_content(reason: Reason) -> bool {
    matches!(reason, Reason::Forged | Reason::ServedBad | Reason::SecondAnswer | Reason::LineChanged)
}
