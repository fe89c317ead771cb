//! Broken rules, without those that an injected fault explains.

use shorewharf_emulator::audit::{Reason, Rule, RuleViolation as Violation, Verdict as AuditVerdict};
use shorewharf_emulator::sockets::network_faults::{NetworkFault, NetworkFaultKind};
use shorewharf_units::{Micros, seconds_from_micros};

use crate::verdict::Verdict;

/// How long after its end a fault still excuses: requests of that time are still being answered, and a line is late after a
/// second.
const EXCUSED_AFTER_END: Micros = 1_100_000;

/// How long a balancer may take to notice that its endpoint list is out of date, and to request it again.
const ENDPOINT_LIST_TIMEOUT: Micros = 6_000_000;

/// The verdict on the rules of the platform.
pub(crate) fn evaluate_rules(audit: &AuditVerdict, faults: &[NetworkFault]) -> Verdict {
    let is_excused = |violation: &&Violation| faults.iter().any(|fault| explains(fault, violation));
    let unexcused: Vec<&Violation> = audit.breaks.iter().filter(|violation| !is_excused(violation)).collect();
    // Only some violations of each reason are kept: if all of those are excused, so are the others.
    let unexcused_reasons = audit
        .reasons
        .iter()
        .filter(|(reason, _)| unexcused.iter().any(|violation| violation.reason == **reason));
    let count: u64 = unexcused_reasons.map(|(_, count)| *count).sum();
    let observed = match unexcused.first() {
        None if audit.breaks.is_empty() => "kept".to_owned(),
        None => "kept but for what was broken between".to_owned(),
        Some(first) => format!(
            "{count} broken; the first at {:.3} s by balancer {}: {}",
            seconds_from_micros(first.at),
            first.balancer,
            first.reason.text()
        ),
    };
    Verdict::new("rules", unexcused.is_empty(), observed, "none broken, no connection lost")
}

/// Whether an injected fault, and not the balancer, is why a rule looks broken.
fn explains(fault: &NetworkFault, violation: &Violation) -> bool {
    let is_affected = fault.balancers.iter().any(|balancer| balancer.0 == violation.balancer);
    let is_between = |extra: Micros| is_affected && (fault.from..=fault.to + extra).contains(&violation.at);
    match fault.kind {
        // A stopped process can't answer. What it sends once it continues is its own fault.
        NetworkFaultKind::ProcessStopped => {
            let is_of_silence =
                matches!(violation.reason.rule(), Rule::NoRequestDropped | Rule::NoConnectionLost);
            is_between(EXCUSED_AFTER_END) && is_of_silence && !is_of_content(violation.reason)
        }
        // Lines wait for the connection, not for the balancer.
        NetworkFaultKind::HalfOpen => {
            let is_on_connection =
                violation.node.is_some_and(|node| fault.nodes.iter().any(|affected| affected.0 == node));
            is_between(EXCUSED_AFTER_END) && is_on_connection && violation.reason == Reason::LineHeld
        }
        // An endpoint list counts as received 6 s after its watch fell silent, though it can't arrive.
        NetworkFaultKind::EndpointListLost => {
            is_between(ENDPOINT_LIST_TIMEOUT) && violation.reason == Reason::SentToDraining
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

/// Whether a violation is in what the balancer sent, rather than in when.
fn is_of_content(reason: Reason) -> bool {
    matches!(reason, Reason::Forged | Reason::ServedBad | Reason::SecondAnswer | Reason::LineChanged)
}
