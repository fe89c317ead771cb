//! Tests of disabled servers and their effective list entries.

use super::*;
use proptest::prelude::*;

const ONE: ServerId = ServerId(1);

fn listed(state: ServerState, started_at: f64) -> ServerEntry {
    ServerEntry { server: ONE, zone: 0, cell: 0, state, weight: 1.0, started_at }
}

fn disable(disabled_at: f64) -> AdminChange {
    AdminChange::Disabled(ONE, DisabledServer { name: "s-1".into(), disabled_at })
}

#[test]
fn a_server_that_is_enabled_again_counts_as_restarted_unless_the_list_shows_a_restart() {
    let mut servers = DisabledServers::default();
    assert!(
        servers.apply(disable(100.0)) && !servers.apply(disable(105.0)),
        "the second command changes nothing"
    );
    assert_eq!(servers.effective_entry(listed(ServerState::Ready, 5.0)).state, ServerState::Draining);
    assert_eq!(servers.effective_entry(listed(ServerState::Removed, 5.0)).state, ServerState::Removed);
    assert!(
        servers.apply(AdminChange::Enabled(ONE, 110.0)) && !servers.apply(AdminChange::Enabled(ONE, 111.0))
    );
    // The list may be outdated: the server may have been restarted just before it was enabled.
    assert_eq!(servers.effective_entry(listed(ServerState::Ready, 5.0)), listed(ServerState::Ready, 110.0));
    // The list shows a restart while the server was disabled.
    assert_eq!(servers.effective_entry(listed(ServerState::Ready, 107.0)), listed(ServerState::Ready, 107.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]
    /// For any sequence of commands and list entries, a ready server is draining from a disable to the next enable, and only
    /// then.
    #[test]
    fn only_an_operator_enables_a_server_again(steps in prop::collection::vec((0u8..4, 0u8..3), 0..40)) {
        let (mut servers, mut is_disabled) = (DisabledServers::default(), false);
        for (now, (step, state)) in steps.into_iter().enumerate() {
            let now = now as f64;
            match step {
                0 => { prop_assert_eq!(servers.apply(disable(now)), !is_disabled); is_disabled = true; }
                1 => { prop_assert_eq!(servers.apply(AdminChange::Enabled(ONE, now)), is_disabled); is_disabled = false; }
                _ => servers.forget(ONE),
            }
            let state = [ServerState::Ready, ServerState::Draining, ServerState::Removed][usize::from(state)];
            let effective = servers.effective_entry(listed(state, 0.0)).state;
            prop_assert_eq!(effective == ServerState::Ready, state == ServerState::Ready && !is_disabled);
        }
    }
}
