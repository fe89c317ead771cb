//! The auditor on sockets: a plain program that does one thing wrong is caught for it. In real time, so it needs idle
//! cores and a minute and a half: a command of its own (`shorewharf-mutant judge`), not one of the tests.

use std::collections::BTreeMap;
use std::path::Path;

use shorewharf_emulator::audit::{Exemption, Reason, Verdict};
use shorewharf_emulator::sockets::platform::run;
use shorewharf_emulator::sockets::process::{ProcessLimits, Program};
use shorewharf_emulator::sockets::run::Options;
use shorewharf_emulator::world::settings;
use thiserror::Error;

use crate::scenario::from_text;

/// Why one mutation was not judged as expected.
#[derive(Debug, Error)]
pub enum JudgeError {
    /// The scenario or the run failed.
    #[error("{mutation}: {reason}")]
    Failed {
        /// What the mutant does wrong.
        mutation: String,
        /// Why the run failed.
        reason: String,
    },
    /// The run was void each time, since the machine was late.
    #[error("{mutation}: the machine is too busy to judge anything in real time ({late})")]
    TooBusy {
        /// What the mutant does wrong.
        mutation: String,
        /// What was late in the last run.
        late: String,
    },
    /// The thread of a run panicked.
    #[error("a run panicked")]
    Panicked,
    /// The auditor found something else.
    #[error("{mutation}: {reasons:?} {exemptions:?}\n{lines}")]
    WrongVerdict {
        /// What the mutant does wrong.
        mutation: String,
        /// The auditor's reasons, with their counts.
        reasons: BTreeMap<Reason, u64>,
        /// The auditor's exemptions, with their counts.
        exemptions: BTreeMap<Exemption, u64>,
        /// The auditor's first lines.
        lines: String,
    },
}

/// The mutations that were not judged as expected.
#[derive(Debug, Error)]
#[error("{}", .0.iter().map(JudgeError::to_string).collect::<Vec<_>>().join("\n\n"))]
pub struct JudgeErrors(pub Vec<JudgeError>);

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

fn judge(mutant: &Path, wrong: &str, length: u32, fault: &str) -> Result<Verdict, JudgeError> {
    let failed = |reason| JudgeError::Failed { mutation: wrong.to_owned(), reason };
    let fault = if fault.is_empty() { String::new() } else { format!("[[faults]]\n{fault}\n") };
    let text = format!(
        "length_s = {length}\nbalancers = 2\n{fault}[[fleet]]\nkind = \"plain\"\ncount = 5\nspeed = 1.2\n"
    );
    let day =
        from_text(Path::new("judged.toml"), &text, &[], Some(5)).map_err(|e| failed(e.to_string()))?.day;
    let limits = ProcessLimits { sockets: 1024, memory_mb: 192.0 };
    let program = match wrong {
        // A signal that the shell ignores stays ignored in what it becomes.
        "ignores-term" => {
            let args = ["-c".into(), "trap '' TERM; exec \"$0\"".into(), mutant.into()].to_vec();
            Program { path: "/bin/sh".into(), args, limits }
        }
        _ => Program { path: mutant.into(), args: vec![wrong.into()], limits },
    };
    let options = Options {
        program,
        folder: None,
        settings: settings::json,
        network_faults: Vec::new(),
        gossip_operator_settings: None,
        balancer_args: Vec::new(),
    };
    let mut late = String::new();
    // Where the driver itself was late, nothing can be said.
    for _ in 0..5 {
        let done = run(&day, &options, &mut |_| {}).map_err(|e| failed(e.to_string()))?;
        match done.report.void {
            None => return Ok(done.result.verdict),
            Some(why) => late = why,
        }
    }
    Err(JudgeError::TooBusy { mutation: wrong.to_owned(), late })
}

/// Plays each way of going wrong that `only` names (all of them where it is empty) with `mutant` as the balancer's
/// program, three at a time, and prints what the auditor says.
///
/// # Errors
/// Those that were not caught as what they are, or were caught for something else, with the auditor's lines.
pub fn judge_all(mutant: &Path, only: &[String]) -> Result<(), JudgeErrors> {
    let mut failed = Vec::new();
    let wrongs: Vec<_> = WRONGS.iter().filter(|w| only.is_empty() || only.iter().any(|o| o == w.0)).collect();
    for some in wrongs.chunks(3) {
        let verdicts: Vec<Result<Verdict, JudgeError>> = std::thread::scope(|scope| {
            let play = |w: &(&str, u32, &str, Option<Reason>)| judge(mutant, w.0, w.1, w.2);
            let runs: Vec<_> = some.iter().map(|w| scope.spawn(move || play(w))).collect();
            let crashed = || Err(JudgeError::Panicked);
            runs.into_iter().map(|run| run.join().unwrap_or_else(|_| crashed())).collect()
        });
        for ((wrong, _, _, wanted), verdict) in some.iter().zip(verdicts) {
            let verdict = match verdict {
                Ok(verdict) => verdict,
                Err(why) => {
                    failed.push(why);
                    continue;
                }
            };
            println!("{wrong}: {:?} {:?} {:?}", verdict.reasons, verdict.excused, verdict.counts);
            let found: Vec<Reason> = verdict.reasons.keys().copied().collect();
            let overdue = verdict.excused.contains_key(&Exemption::Overdue);
            if found != wanted.as_slice() || overdue != (*wrong == "mute") {
                let lines: Vec<String> = verdict.lines().take(6).collect();
                failed.push(JudgeError::WrongVerdict {
                    mutation: (*wrong).to_owned(),
                    reasons: verdict.reasons,
                    exemptions: verdict.excused,
                    lines: lines.join("\n"),
                });
            }
        }
    }
    if failed.is_empty() { Ok(()) } else { Err(JudgeErrors(failed)) }
}
