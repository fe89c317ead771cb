//! Property tests of the settings: the names of classes, tenants and zones, and unknown keys, have no effect
//! on the parsed settings, while each value that is known does.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use shorewharf_decisions::interface::{DeduplicationScope, Idempotency};
use shorewharf_settings::parse;

/// A request class with the values of its keys in the JSON text.
#[derive(Clone, Debug)]
struct Class {
    /// Index in [`SEMANTICS`].
    semantics_index: usize,
    deduplication_window: f64,
    latency_objective: f64,
    priority_weight: f64,
}

/// Values of the keys `semantics` and `group` of a class.
const SEMANTICS: [(&str, &str); 5] = [
    ("read_like", ""),
    ("non_idempotent", ""),
    ("idempotency_key", "all"),
    ("idempotency_key", "zone"),
    ("idempotency_key", "cell"),
];

/// Builds the JSON text of the settings, with additional top-level keys.
fn settings_json(
    names: &[String],
    additional_keys: &Value,
    classes: &[Class],
    quotas: &[f64],
    limits: (u32, f64, bool),
) -> Value {
    let name = |index: usize| names[index % names.len()].clone() + &index.to_string();
    let class = |(index, class): (usize, &Class)| {
        let (semantics, group) = SEMANTICS[class.semantics_index];
        json!({
            "name": name(index),
            "semantics": semantics,
            "group": group,
            "window_s": class.deduplication_window,
            "promise_s": class.latency_objective,
            "worth": class.priority_weight,
            "give_up_s": class.latency_objective * 2.0,
        })
    };
    let tenant = |(index, quota): (usize, &f64)| json!({"name": name(index + 50), "quota_per_s": quota});
    let mut all = json!({
        "classes": classes.iter().enumerate().map(class).collect::<Vec<_>>(),
        "tenants": quotas.iter().enumerate().map(tenant).collect::<Vec<_>>(),
        "zones": [name(100), name(101)],
        "zone": 1,
        "me": 3,
        "group_size": 7,
        "registry_mode": "ask",
        "tick_s": 0.004,
        "weights": "nominal",
        "specifics": {"groups": true, "mode": "proxy", "tenant_quota_connections": quotas},
        "limits": {
            "cancel": true,
            "connect_timeout_s": limits.1,
            "max_attempts": limits.0,
            "may_probe": limits.2,
        },
        "rules": {
            "ask_within_s": 8.0,
            "start_capacity": 0.2,
            "warm_within_s": 18.0,
            "fall_multiple": 2.0,
            "overload_for_s": 1.8,
        },
    });
    if let (Some(all), Value::Object(additional_keys)) = (all.as_object_mut(), additional_keys) {
        all.extend(additional_keys.clone());
    }
    all
}

/// Generates a number with at most three decimal places. The JSON parser may be off in the 17th significant
/// digit of longer ones.
fn decimal_number(min_thousandths: u32, max_thousandths: u32) -> impl Strategy<Value = f64> {
    (min_thousandths..max_thousandths).prop_map(|thousandths| f64::from(thousandths) / 1000.0)
}

fn class() -> impl Strategy<Value = Class> {
    (0usize..5, decimal_number(50, 5000), decimal_number(100, 4000), decimal_number(100, 9000)).prop_map(
        |(semantics_index, deduplication_window, latency_objective, priority_weight)| Class {
            semantics_index,
            deduplication_window,
            latency_objective,
            priority_weight,
        },
    )
}

fn limits() -> impl Strategy<Value = (u32, f64, bool)> {
    (1u32..7, decimal_number(50, 1000), any::<bool>())
}

fn parsed(value: &Value) -> String {
    format!("{:?}", parse(value.to_string().as_bytes()).expect("valid settings"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default() })]

    #[test]
    fn names_and_unknown_keys_have_no_effect(
        names in prop::collection::vec("[a-zA-Z0-9_ é-]{1,12}", 1..6),
        other_names in prop::collection::vec("[a-z-]{1,12}", 1..6),
        classes in prop::collection::vec(class(), 1..6),
        quotas in prop::collection::vec(decimal_number(0, 900_000), 0..9),
        limits in limits(),
        number in any::<u32>(),
    ) {
        let json = settings_json(&names, &json!({}), &classes, &quotas, limits);
        let name = &other_names[0];
        let unknown_keys = json!({"customer": name, "label": {"figure": number}, "season": [number, name]});
        let other_json = settings_json(&other_names, &unknown_keys, &classes, &quotas, limits);
        prop_assert_eq!(parsed(&json), parsed(&other_json));
    }

    #[test]
    fn every_known_value_is_parsed_unchanged(
        classes in prop::collection::vec(class(), 1..6),
        quotas in prop::collection::vec(decimal_number(0, 900_000), 0..9),
        limits in limits(),
    ) {
        let value = settings_json(&["n".to_owned()], &json!({}), &classes, &quotas, limits);
        let settings = parse(value.to_string().as_bytes()).expect("valid settings").settings;
        prop_assert_eq!((settings.max_attempts, settings.connect_timeout, settings.may_probe), limits);
        prop_assert_eq!(
            (settings.overload_window, settings.overload_ratio, settings.warm_up_time),
            (1.8, 2.0, 18.0)
        );
        prop_assert_eq!(settings.tenant_connection_quotas, quotas);
        let values = settings.classes.iter().map(|class| (class.latency_objective, class.priority_weight));
        prop_assert!(values.eq(classes.iter().map(|class| (class.latency_objective, class.priority_weight))));
        for (parsed, class) in settings.classes.iter().zip(&classes) {
            let window = class.deduplication_window;
            let expected = [
                Idempotency::Idempotent,
                Idempotency::NonIdempotent,
                Idempotency::Keyed(DeduplicationScope::All, window),
                Idempotency::Keyed(DeduplicationScope::Zone, window),
                Idempotency::Keyed(DeduplicationScope::Cell, window),
            ];
            prop_assert_eq!(parsed.idempotency, expected[class.semantics_index]);
        }
    }
}
