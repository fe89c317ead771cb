//! The auditor on sockets: a plain program that does one thing wrong is caught for it. In real time, so it needs idle
//! cores and a minute and a half; it is asked for by name. `ONLY` may list what is to be played, with commas between.

use std::path::Path;

use shorewharf_emulator::audit::{Excuse, Reason, Verdict};
use shorewharf_emulator::sockets::platform::run;
use shorewharf_emulator::sockets::process::{ProcessLimits, Program};
use shorewharf_emulator::sockets::run::Options;
use shorewharf_emulator::world::settings;
use shorewharf_lab::scenario::from_text;

/// What it does wrong, on a day of which length with what going wrong, and why it is caught.
const WRONGS: &[(&str, u32, &str, Option<Reason>)] = &[
    ("nothing", 8, "", None),
    ("mute", 8, "", None),
    ("hangs-up", 8, "", Some(Reason::EndedUnanswered)),
    ("forges", 8, "", Some(Reason::Forged)),
    ("two-at-once", 8, "", Some(Reason::SecondCopy)),
    ("never-gives-up", 8, "", Some(Reason::TooManyAttempts)),
    ("sends-after-end", 8, "", Some(Reason::SentAfterEnd)),
    (
        "ignores-drains",
        14,
        "kind = \"drain\"\nat_s = 1\nlen_s = 10\non = [0, 1, 2]",
        Some(Reason::SentToDraining),
    ),
    (
        "overruns",
        12,
        "kind = \"crash\"\nat_s = 3\nlen_s = 1\non = [0]\n[streams]\nlife_s = 4",
        Some(Reason::PushedOver),
    ),
    ("cuts-off", 8, "", Some(Reason::CutOff)),
    ("keeps-ended", 8, "", Some(Reason::EndedKept)),
    ("keeps-severed", 8, "", Some(Reason::SeveredKept)),
    ("keeps-silent", 11, "kind = \"hang\"\nat_s = 1\nlen_s = 9\non = [0]", Some(Reason::SilentKept)),
    ("holds-lines", 8, "", Some(Reason::LineHeld)),
    ("changes-lines", 8, "", Some(Reason::LineChanged)),
    ("moves-in-line", 8, "", Some(Reason::MoveInLine)),
    (
        "cuts-off-at-term",
        8,
        "kind = \"balancer-restart\"\nat_s = 2\nlen_s = 1\non = [0]",
        Some(Reason::CutOffAtRestart),
    ),
    (
        "ignores-term",
        9,
        "kind = \"balancer-restart\"\nat_s = 2\nlen_s = 1\non = [0]",
        Some(Reason::HeldAtKill),
    ),
    ("exits", 8, "", Some(Reason::Exited)),
];

fn judge(wrong: &str, length: u32, fault: &str) -> Verdict {
    let fault = if fault.is_empty() { String::new() } else { format!("[[faults]]\n{fault}\n") };
    let text = format!(
        "length_s = {length}\nbalancers = 2\n{fault}[[fleet]]\nkind = \"plain\"\ncount = 5\nspeed = 1.2\n"
    );
    let day = from_text(Path::new("test.toml"), &text, &[], Some(5)).unwrap_or_else(|e| panic!("{e}")).day;
    let mutant = env!("CARGO_BIN_EXE_shorewharf-mutant");
    let limits = ProcessLimits { sockets: 1024, memory_mb: 192.0 };
    let program = match wrong {
        // A signal that the shell ignores stays ignored in what it becomes.
        "ignores-term" => {
            let args = ["-c", "trap '' TERM; exec \"$0\"", mutant].map(Into::into).to_vec();
            Program { path: "/bin/sh".into(), args, limits }
        }
        _ => Program { path: mutant.into(), args: vec![wrong.into()], limits },
    };
    let options = Options { program, folder: None, settings: settings::json };
    // Where the driver itself was late, nothing can be said.
    for _ in 0..5 {
        let done = run(&day, &options, &mut |_| {}).unwrap_or_else(|e| panic!("{wrong}: {e}"));
        match done.report.void {
            None => return done.result.verdict,
            Some(why) => println!("{wrong}: {why}"),
        }
    }
    panic!("{wrong}: the machine is too busy to judge anything in real time");
}

#[test]
#[ignore = "in real time: needs four idle cores for a minute and a half"]
fn each_mutant_is_caught_on_sockets() {
    let mut failed = Vec::new();
    let only = std::env::var("ONLY").unwrap_or_default();
    let wrongs: Vec<_> =
        WRONGS.iter().filter(|w| only.is_empty() || only.split(',').any(|o| o == w.0)).copied().collect();
    for some in wrongs.chunks(3) {
        let verdicts: Vec<Verdict> = std::thread::scope(|scope| {
            let runs: Vec<_> = some
                .iter()
                .map(|(wrong, length, fault, _)| scope.spawn(|| judge(wrong, *length, fault)))
                .collect();
            runs.into_iter().map(|run| run.join().expect("it ran")).collect()
        });
        for ((wrong, _, _, wanted), verdict) in some.iter().zip(verdicts) {
            println!("{wrong}: {:?} {:?} {:?}", verdict.reasons, verdict.excused, verdict.counts);
            let found: Vec<Reason> = verdict.reasons.keys().copied().collect();
            let overdue = verdict.excused.contains_key(&Excuse::Overdue);
            if found != wanted.as_slice() || overdue != (*wrong == "mute") {
                let lines: Vec<String> = verdict.lines().take(6).collect();
                failed.push(format!(
                    "{wrong}: {:?} {:?}\n{}",
                    verdict.reasons,
                    verdict.excused,
                    lines.join("\n")
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}
