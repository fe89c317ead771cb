//! Check of the auditor on sockets: it must report the one violation of each mutant program. The runs are in
//! real time and need idle cores and a minute and a half, so they are a command (`shorewharf-mutant judge`)
//! and not a test.

use std::collections::BTreeMap;
use std::path::Path;

use shorewharf_emulator::audit::{Exemption, Reason, Verdict};
use shorewharf_emulator::sockets::platform::run;
use shorewharf_emulator::sockets::process::{ProcessLimits, Program};
use shorewharf_emulator::sockets::run::Options;
use shorewharf_emulator::world::settings;
use thiserror::Error;

use crate::scenario::from_text;

/// Why the check of one mutation failed.
#[derive(Debug, Error)]
pub enum JudgeError {
    /// The scenario was invalid, or the run failed.
    #[error("{mutation}: {reason}")]
    Failed {
        /// Name of the mutation.
        mutation: String,
        /// The error of the scenario or of the run.
        reason: String,
    },
    /// All runs were void, since the machine was too slow for real time.
    #[error(
        "{mutation}: the machine was too busy for a run in real time, {MAX_RUNS} times in a row ({late})"
    )]
    TooBusy {
        /// Name of the mutation.
        mutation: String,
        /// What was late in the last run, and by how much.
        late: String,
    },
    /// The thread of a run panicked.
    #[error("the thread of a run panicked")]
    Panicked,
    /// The auditor reported other violations than expected, or not the expected one.
    #[error("{mutation}: the auditor reported {reasons:?} with the exemptions {exemptions:?}\n{lines}")]
    WrongVerdict {
        /// Name of the mutation.
        mutation: String,
        /// The reasons that the auditor reported, with their counts.
        reasons: BTreeMap<Reason, u64>,
        /// The exemptions that the auditor granted, with their counts.
        exemptions: BTreeMap<Exemption, u64>,
        /// The first lines of the auditor's report.
        lines: String,
    },
}

/// All checks that failed.
#[derive(Debug, Error)]
#[error("{}", .0.iter().map(JudgeError::to_string).collect::<Vec<_>>().join("\n\n"))]
pub struct JudgeErrors(pub Vec<JudgeError>);

/// A mutation, the day on which it is run, and the reason that the auditor must report.
struct MutationCase {
    /// Name of the mutation, as the argument of the mutant program.
    mutation: &'static str,
    /// Length of the day in seconds.
    length: u32,
    /// TOML of a fault and of what follows it; empty for a day without faults.
    fault: &'static str,
    /// The reason that the auditor must report; none if it must not report a violation.
    expected: Option<Reason>,
}

impl MutationCase {
    const fn new(mutation: &'static str, length: u32, fault: &'static str, expected: Option<Reason>) -> Self {
        Self { mutation, length, fault, expected }
    }
}

/// Maximum number of runs of a mutation, since runs on a busy machine are void.
const MAX_RUNS: usize = 5;

/// All mutations, and the correct balancer as `nothing`.
const CASES: &[MutationCase] = &[
    MutationCase::new("nothing", 8, "", None),
    MutationCase::new("mute", 8, "", None),
    MutationCase::new("hangs-up", 8, "", Some(Reason::EndedUnanswered)),
    MutationCase::new("forges", 8, "", Some(Reason::Forged)),
    MutationCase::new("two-at-once", 8, "", Some(Reason::SecondCopy)),
    MutationCase::new("never-gives-up", 8, "", Some(Reason::TooManyAttempts)),
    MutationCase::new("sends-after-end", 8, "", Some(Reason::SentAfterEnd)),
    MutationCase::new(
        "ignores-drains",
        14,
        "kind = \"drain\"\nat_s = 1\nlen_s = 10\non = [0, 1, 2]",
        Some(Reason::SentToDraining),
    ),
    MutationCase::new(
        "overruns",
        12,
        "kind = \"crash\"\nat_s = 3\nlen_s = 1\non = [0]\n[streams]\nlife_s = 4",
        Some(Reason::PushedOver),
    ),
    MutationCase::new("cuts-off", 8, "", Some(Reason::CutOff)),
    MutationCase::new("keeps-ended", 8, "", Some(Reason::EndedKept)),
    MutationCase::new("keeps-severed", 8, "", Some(Reason::SeveredKept)),
    MutationCase::new(
        "keeps-silent",
        11,
        "kind = \"hang\"\nat_s = 1\nlen_s = 9\non = [0]",
        Some(Reason::SilentKept),
    ),
    MutationCase::new("holds-lines", 8, "", Some(Reason::LineHeld)),
    MutationCase::new("changes-lines", 8, "", Some(Reason::LineChanged)),
    MutationCase::new("moves-in-line", 8, "", Some(Reason::MoveInLine)),
    MutationCase::new(
        "cuts-off-at-term",
        8,
        "kind = \"balancer-restart\"\nat_s = 2\nlen_s = 1\non = [0]",
        Some(Reason::CutOffAtRestart),
    ),
    MutationCase::new(
        "ignores-term",
        9,
        "kind = \"balancer-restart\"\nat_s = 2\nlen_s = 1\non = [0]",
        Some(Reason::HeldAtKill),
    ),
    MutationCase::new("exits", 8, "", Some(Reason::Exited)),
];

/// Runs the day of a mutation with the mutant as the balancer and returns the verdict of the auditor.
fn judge(mutant: &Path, case: &MutationCase) -> Result<Verdict, JudgeError> {
    let MutationCase { mutation, length, fault, .. } = *case;
    let failed = |reason| JudgeError::Failed { mutation: mutation.to_owned(), reason };
    let fault = if fault.is_empty() { String::new() } else { format!("[[faults]]\n{fault}\n") };
    let text = format!(
        "length_s = {length}\nbalancers = 2\n{fault}[[fleet]]\nkind = \"plain\"\ncount = 5\nspeed = 1.2\n"
    );
    let day =
        from_text(Path::new("judged.toml"), &text, &[], Some(5)).map_err(|e| failed(e.to_string()))?.day;
    let limits = ProcessLimits { sockets: 1024, memory_mb: 192.0 };
    let program = match mutation {
        // A signal that the shell ignores stays ignored in the program that it executes.
        "ignores-term" => {
            let args = ["-c".into(), "trap '' TERM; exec \"$0\"".into(), mutant.into()].to_vec();
            Program { path: "/bin/sh".into(), args, limits }
        }
        _ => Program { path: mutant.into(), args: vec![mutation.into()], limits },
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
    // A run in which the driver itself was late is void and is repeated.
    for _ in 0..MAX_RUNS {
        let output = run(&day, &options, &mut |_| {}).map_err(|e| failed(e.to_string()))?;
        match output.report.void {
            None => return Ok(output.result.verdict),
            Some(cause) => late = cause,
        }
    }
    Err(JudgeError::TooBusy { mutation: mutation.to_owned(), late })
}

/// Runs the mutations that `only` names, or all if it is empty, three at a time, with `mutant` as the
/// balancer's program. Prints the reasons, exemptions and counts of each verdict.
///
/// # Errors
/// The mutations whose run failed, or for which the auditor did not report exactly the expected reason.
pub fn judge_all(mutant: &Path, only: &[String]) -> Result<(), JudgeErrors> {
    let mut failed = Vec::new();
    let cases: Vec<_> =
        CASES.iter().filter(|c| only.is_empty() || only.iter().any(|o| o == c.mutation)).collect();
    for batch in cases.chunks(3) {
        let verdicts: Vec<Result<Verdict, JudgeError>> = std::thread::scope(|scope| {
            let runs: Vec<_> = batch.iter().map(|case| scope.spawn(move || judge(mutant, case))).collect();
            runs.into_iter().map(|run| run.join().unwrap_or(Err(JudgeError::Panicked))).collect()
        });
        for (MutationCase { mutation, expected, .. }, verdict) in batch.iter().zip(verdicts) {
            let verdict = match verdict {
                Ok(verdict) => verdict,
                Err(error) => {
                    failed.push(error);
                    continue;
                }
            };
            println!("{mutation}: {:?} {:?} {:?}", verdict.reasons, verdict.excused, verdict.counts);
            let found: Vec<Reason> = verdict.reasons.keys().copied().collect();
            // A client that is never answered is reported as overdue, which is an exemption.
            let overdue = verdict.excused.contains_key(&Exemption::Overdue);
            if found != expected.as_slice() || overdue != (*mutation == "mute") {
                let lines: Vec<String> = verdict.lines().take(6).collect();
                failed.push(JudgeError::WrongVerdict {
                    mutation: (*mutation).to_owned(),
                    reasons: verdict.reasons,
                    exemptions: verdict.excused,
                    lines: lines.join("\n"),
                });
            }
        }
    }
    if failed.is_empty() { Ok(()) } else { Err(JudgeErrors(failed)) }
}
