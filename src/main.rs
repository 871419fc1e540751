//! The bitternlead command: parses, runs, and maps the result to an exit code.

use std::time::Duration;

use bitternlead::cli::{Cli, Command, PlatformRole};
use bitternlead::commands::{self, CommandError};
use bitternlead::events::{build_logger, build_output_logger};
use bitternlead::exit_codes::ExitCode;
use bitternlead::findings::Findings;
use bitternlead::platform::roles;
use bitternlead::platform::settings::PlatformSettings;
use bitternlead::process::RunError;
use bitternlead::settings::{
    AgentSettings, CommonSettings, ControlSettings, EntrySettings, SettingSource,
};
use bitternlead::{agent, control, entry};
use slog::Logger;
use tokio::runtime::{Builder, Runtime};

fn main() -> std::process::ExitCode {
    let scenario = fail::FailScenario::setup();
    let cli: Cli = argh::from_env();
    let code = run(cli.command);
    scenario.teardown();
    code.into()
}

fn run(command: Command) -> ExitCode {
    match command {
        Command::Entry(o) => match EntrySettings::read(source(o.into_flags())) {
            Ok(s) => run_role("entry", &s.common.clone(), |log| entry::run::run(s, log)),
            Err(findings) => refuse(&findings),
        },
        Command::Agent(o) => match AgentSettings::read(source(o.into_flags())) {
            Ok(s) => run_role("agent", &s.common.clone(), |log| agent::run::run(s, log)),
            Err(findings) => refuse(&findings),
        },
        Command::Control(o) => match ControlSettings::read(source(o.into_flags())) {
            Ok(s) => run_role("control", &s.common.clone(), |log| control::run::run(s, log)),
            Err(findings) => refuse(&findings),
        },
        Command::Platform(o) => run_on_platform(o.role),
        Command::Trace(o) => finish(commands::trace(o)),
        Command::Check(o) => finish(commands::check(o)),
        Command::Init(o) => run_command(commands::init(o)),
        Command::Apply(o) => run_command(commands::apply(o)),
        Command::Status(o) => run_command(commands::status(o)),
        Command::Drain(o) => run_command(commands::drain(o)),
        Command::Order(o) => run_command(commands::order(o)),
        Command::Burn(o) => run_command(commands::burn(o)),
        Command::Remove(o) => run_command(commands::remove(o)),
    }
}

fn source(flags: Vec<(&'static str, Option<String>)>) -> SettingSource {
    SettingSource::new(flags, |name| std::env::var(name).ok())
}

fn refuse(findings: &Findings) -> ExitCode {
    eprint!("bitternlead: settings refused, nothing was started\n{findings}");
    ExitCode::BadInput
}

fn run_on_platform(role: PlatformRole) -> ExitCode {
    let (settings, path) = match PlatformSettings::load() {
        Ok(loaded) => loaded,
        Err(findings) => return refuse(&findings),
    };
    let name = match role {
        PlatformRole::Entry(_) => "entry",
        PlatformRole::Control(_) => "control",
    };
    let (log, _guard) = build_output_logger(name, &settings.node);
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
        eprintln!("bitternlead: cannot start");
        return ExitCode::Failure;
    };
    let ended = runtime.block_on(async move {
        match role {
            PlatformRole::Entry(_) => roles::run_entry(settings, path, log).await,
            PlatformRole::Control(_) => roles::run_control(settings, path, log).await,
        }
    });
    finish_role(runtime, ended)
}

fn run_role<F>(
    role: &'static str,
    common: &CommonSettings,
    start: impl FnOnce(Logger) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), RunError>>,
{
    let (log, _guard) = build_logger(common.log_form, common.log_level, role, &common.node);
    let Ok(runtime) = Builder::new_multi_thread().enable_all().build() else {
        eprintln!("bitternlead: cannot start threads");
        return ExitCode::Failure;
    };
    let ended = runtime.block_on(start(log));
    finish_role(runtime, ended)
}

fn finish_role(runtime: Runtime, ended: Result<(), RunError>) -> ExitCode {
    runtime.shutdown_timeout(Duration::from_millis(200));
    match ended {
        Ok(()) => ExitCode::Success,
        Err(e) => {
            eprintln!("bitternlead: {e}");
            e.exit_code()
        }
    }
}

fn run_command(command: impl Future<Output = Result<ExitCode, CommandError>>) -> ExitCode {
    match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => finish(runtime.block_on(command)),
        Err(e) => {
            eprintln!("bitternlead: cannot start: {e}");
            ExitCode::Failure
        }
    }
}

fn finish(done: Result<ExitCode, CommandError>) -> ExitCode {
    done.unwrap_or_else(|e| {
        eprintln!("bitternlead: {e}");
        e.exit_code()
    })
}
