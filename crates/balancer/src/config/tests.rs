//! Tests of the module that these stand beside.

use super::*;
use serde_json::json;

fn good() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {"classes": [{"name": "chat", "give_up_s": 3.2}], "tenants": [{"name": "acme"}],
                "zones": ["a", "b"], "tick_s": 0.005}})
}

fn fault(change: impl Fn(&mut Value)) -> String {
    let mut value = good();
    change(&mut value);
    Config::parse(value.to_string().as_bytes(), |_| None).expect_err("a fault").to_string()
}

#[test]
fn a_good_file_is_read() {
    let c = Config::parse(good().to_string().as_bytes(), |_| None).expect("good");
    assert_eq!((c.seed, c.give_up[0], c.limits.sockets), (0x8c1f_30d2_7a5b_e964, 3_200_000, 1024));
    assert_eq!((c.names.classes["chat"], c.names.tenants["acme"], c.names.zones["b"]), (0, 0, 1));
}

#[test]
fn the_environment_fills_gaps() {
    let mut value = good();
    value["listen"] = Value::Null;
    let env = |var: &str| (var == "ROUTER_LISTEN").then(|| "127.0.0.9:1".to_owned());
    let c = Config::parse(value.to_string().as_bytes(), env).expect("good");
    assert_eq!(c.listen, "127.0.0.9:1".parse().unwrap());
}

#[test]
fn names_in_force_keep_their_places() {
    let parse = |v: &Value| Config::parse(v.to_string().as_bytes(), |_| None).expect("good");
    let (old, mut next) = (parse(&good()), good());
    next["settings"]["classes"] = json!([{"name": "chat"}, {"name": "feed"}]);
    next["listen"] = json!("127.0.0.1:8001");
    let next = parse(&next);
    assert!(old.may_become(&next).is_ok());
    assert_eq!((old.needs_restart(&next), old.needs_restart(&old)), (vec!["listen"], vec![]));
    for (key, names) in [
        ("classes", json!([{"name": "feed"}, {"name": "chat"}])),
        ("tenants", json!([{"name": "other"}])),
        ("zones", json!(["b", "a"])),
    ] {
        let mut next = good();
        next["settings"][key] = names;
        let fault = old.may_become(&parse(&next)).expect_err("a fault").to_string();
        assert!(fault.starts_with(&format!("settings.{key}: ")), "{fault}");
    }
}

#[test]
fn messages_name_the_key() {
    for (key, message) in [
        ("listen", fault(|v| v["listen"] = json!("nowhere"))),
        ("discovery", fault(|v| v["discovery"] = Value::Null)),
        ("seed", fault(|v| v["seed"] = json!("xyz"))),
        (
            "limits.sockets: invalid type: string \"many\", expected a whole number",
            fault(|v| v["limits"]["sockets"] = json!("many")),
        ),
        ("limits.sockets", fault(|v| v["limits"]["sockets"] = json!(3))),
        ("known.endpoints[0].name", fault(|v| v["known"] = json!({"endpoints": [{"name": 5}]}))),
        ("settings", fault(|v| v["settings"] = Value::Null)),
        ("settings.classes", fault(|v| v["settings"]["classes"] = json!([]))),
        ("settings.classes[0].give_up_s", fault(|v| v["settings"]["classes"][0]["give_up_s"] = json!(-1))),
        ("settings.tick_s", fault(|v| v["settings"]["tick_s"] = json!(0))),
        ("settings.rules.ask_within_s", fault(|v| v["settings"]["rules"] = json!({"ask_within_s": "x"}))),
    ] {
        assert!(message.starts_with(key), "{key}: {message}");
    }
}
