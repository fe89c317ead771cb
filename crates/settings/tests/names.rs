//! Whatever customers call their classes, tenants and zones, and whatever else their settings say: the decisions see only
//! what the settings mean.

use proptest::prelude::*;
use serde_json::{Value, json};
use shorewharf_settings::parse;

/// A class as the settings name it.
#[derive(Clone, Debug)]
struct Class {
    /// Index in [`EFFECTS`].
    effect: usize,
    window: f64,
    promise: f64,
    worth: f64,
}

const EFFECTS: [(&str, &str); 5] = [
    ("read_like", ""),
    ("non_idempotent", ""),
    ("idempotency_key", "all"),
    ("idempotency_key", "zone"),
    ("idempotency_key", "cell"),
];

fn text(
    names: &[String],
    more: &Value,
    classes: &[Class],
    quotas: &[f64],
    limits: (u32, f64, bool),
) -> Value {
    let name = |at: usize| names[at % names.len()].clone() + &at.to_string();
    let class = |(at, Class { effect, window, promise, worth }): (usize, &Class)| {
        let (semantics, group) = EFFECTS[*effect];
        json!({"name": name(at), "semantics": semantics, "group": group, "window_s": window, "promise_s": promise,
            "worth": worth, "give_up_s": promise * 2.0})
    };
    let tenant = |(at, quota): (usize, &f64)| json!({"name": name(at + 50), "quota_per_s": quota});
    let mut all = json!({
        "classes": classes.iter().enumerate().map(class).collect::<Vec<_>>(),
        "tenants": quotas.iter().enumerate().map(tenant).collect::<Vec<_>>(),
        "zones": [name(100), name(101)], "zone": 1, "me": 3, "group_size": 7, "registry_mode": "ask", "tick_s": 0.004,
        "weights": "nominal",
        "specifics": {"groups": true, "mode": "proxy", "tenant_quota_connections": quotas},
        "limits": {"cancel": true, "connect_timeout_s": limits.1, "max_attempts": limits.0, "may_probe": limits.2},
        "rules": {"ask_within_s": 8.0, "start_capacity": 0.2, "warm_within_s": 18.0, "fall_multiple": 2.0,
            "overload_for_s": 1.8},
    });
    if let (Some(all), Value::Object(more)) = (all.as_object_mut(), more) {
        all.extend(more.clone());
    }
    all
}

/// A figure as people write it, in thousandths. The reader may be off in the seventeenth digit of longer ones.
fn figure(least: u32, most: u32) -> impl Strategy<Value = f64> {
    (least..most).prop_map(|thousandths| f64::from(thousandths) / 1000.0)
}

fn class() -> impl Strategy<Value = Class> {
    (0usize..5, figure(50, 5000), figure(100, 4000), figure(100, 9000))
        .prop_map(|(effect, window, promise, worth)| Class { effect, window, promise, worth })
}

fn limits() -> impl Strategy<Value = (u32, f64, bool)> {
    (1u32..7, figure(50, 1000), any::<bool>())
}

fn read(value: &Value) -> String {
    format!("{:?}", parse(value.to_string().as_bytes()).expect("usable settings"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(31), ..ProptestConfig::default() })]

    #[test]
    fn no_name_and_no_key_that_means_nothing_reaches_the_decisions(
        names in prop::collection::vec("[a-zA-Z0-9_ é-]{1,12}", 1..6),
        others in prop::collection::vec("[a-z-]{1,12}", 1..6),
        classes in prop::collection::vec(class(), 1..6),
        quotas in prop::collection::vec(figure(0, 900_000), 0..9),
        limits in limits(),
        number in any::<u32>(),
    ) {
        let ours = text(&names, &json!({}), &classes, &quotas, limits);
        let more = json!({"customer": others[0], "label": {"figure": number}, "season": [number, others[0]]});
        let theirs = text(&others, &more, &classes, &quotas, limits);
        prop_assert_eq!(read(&ours), read(&theirs));
    }

    /// Each figure that the settings do name reaches the decisions as it is.
    #[test]
    fn what_the_settings_name_reaches_the_decisions(
        classes in prop::collection::vec(class(), 1..6),
        quotas in prop::collection::vec(figure(0, 900_000), 0..9),
        limits in limits(),
    ) {
        let value = text(&["n".to_owned()], &json!({}), &classes, &quotas, limits);
        let set = parse(value.to_string().as_bytes()).expect("usable settings").settings;
        prop_assert_eq!((set.max_attempts, set.connect_timeout, set.may_probe), limits);
        prop_assert_eq!((set.overload_window, set.overload_ratio, set.warm_up_time), (1.8, 2.0, 18.0));
        prop_assert_eq!(set.tenant_connection_quotas, quotas);
        let figures = set.classes.iter().map(|c| (c.latency_objective, c.priority_weight));
        prop_assert!(figures.eq(classes.iter().map(|class| (class.promise, class.worth))));
        for (class, Class { effect, window, .. }) in set.classes.iter().zip(&classes) {
            use shorewharf_decisions::interface::{DeduplicationScope, Idempotency};
            let expected = [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Keyed(DeduplicationScope::All, *window),
                Idempotency::Keyed(DeduplicationScope::Zone, *window), Idempotency::Keyed(DeduplicationScope::Cell, *window)][*effect];
            prop_assert_eq!(class.idempotency, expected);
        }
    }
}
