//! The `bitternlead` command: parses the command line, runs the command and maps its result to an
//! exit code.

use std::time::Duration;

use bitternlead::cli::{Cli, Command, ConfigAction, PlatformRole};
use bitternlead::commands::{self, CommandError};
use bitternlead::config_check_command;
use bitternlead::events::{build_logger, build_output_logger};
use bitternlead::exit_codes::ExitCode;
use bitternlead::findings::Findings;
use bitternlead::gateway::placement::policy::Policy;
use bitternlead::panics::log_panics;
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
        Command::Entry(o) => match EntrySettings::read(setting_source(o.into_flags())) {
            Ok(s) => run_role("entry", &s.common.clone(), |log| entry::run::run(s, log)),
            Err(findings) => report_findings(&findings),
        },
        Command::Agent(o) => match AgentSettings::read(setting_source(o.into_flags())) {
            Ok(s) => run_role("agent", &s.common.clone(), |log| agent::run::run(s, log)),
            Err(findings) => report_findings(&findings),
        },
        Command::Control(o) => match ControlSettings::read(setting_source(o.into_flags())) {
            Ok(s) => run_role("control", &s.common.clone(), |log| control::run::run(s, log)),
            Err(findings) => report_findings(&findings),
        },
        Command::Platform(o) => run_platform_role(o.role),
        Command::Trace(o) => exit_code_of(commands::trace(o)),
        Command::Losses(o) => exit_code_of(commands::losses(o)),
        Command::Check(o) => exit_code_of(commands::check(o)),
        Command::Config(o) => match o.action {
            ConfigAction::Check(o) => run_command(config_check_command::run(o)),
        },
        Command::Init(o) => run_command(commands::init(o)),
        Command::Apply(o) => run_command(commands::apply(o)),
        Command::Status(o) => run_command(commands::status(o)),
        Command::Drain(o) => run_command(commands::drain(o)),
        Command::Order(o) => run_command(commands::order(o)),
        Command::Burn(o) => run_command(commands::burn(o)),
        Command::Remove(o) => run_command(commands::remove(o)),
    }
}

fn setting_source(flags: Vec<(&'static str, Option<String>)>) -> SettingSource {
    SettingSource::new(flags, |name| std::env::var(name).ok())
}

fn report_findings(findings: &Findings) -> ExitCode {
    eprint!("bitternlead: settings refused, nothing was started\n{findings}");
    ExitCode::BadInput
}

fn run_platform_role(role: PlatformRole) -> ExitCode {
    let policy = match &role {
        PlatformRole::Entry(o) => Policy::without(&o.without),
        PlatformRole::Control(_) => Ok(Policy::default()),
    };
    let policy = match policy {
        Ok(policy) => policy,
        Err(reason) => {
            eprintln!("bitternlead: --without: {reason}");
            return ExitCode::BadInput;
        }
    };
    let (settings, path) = match PlatformSettings::load() {
        Ok(loaded) => loaded,
        Err(findings) => return report_findings(&findings),
    };
    let name = match role {
        PlatformRole::Entry(_) => "entry",
        PlatformRole::Control(_) => "control",
    };
    let (log, _guard) = build_output_logger(name, &settings.node);
    log_panics(log.clone());
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
        eprintln!("bitternlead: cannot start the runtime");
        return ExitCode::Failure;
    };
    let result = runtime.block_on(async move {
        match role {
            PlatformRole::Entry(_) => roles::run_entry(settings, path, policy, log).await,
            PlatformRole::Control(_) => roles::run_control(settings, path, log).await,
        }
    });
    shut_down(runtime, result)
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
    log_panics(log.clone());
    let Ok(runtime) = Builder::new_multi_thread().enable_all().build() else {
        eprintln!("bitternlead: cannot start the runtime");
        return ExitCode::Failure;
    };
    let result = runtime.block_on(start(log));
    shut_down(runtime, result)
}

fn shut_down(runtime: Runtime, result: Result<(), RunError>) -> ExitCode {
    runtime.shutdown_timeout(Duration::from_millis(200));
    match result {
        Ok(()) => ExitCode::Success,
        Err(e) => {
            eprintln!("bitternlead: {e}");
            e.exit_code()
        }
    }
}

fn run_command(command: impl Future<Output = Result<ExitCode, CommandError>>) -> ExitCode {
    match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => exit_code_of(runtime.block_on(command)),
        Err(e) => {
            eprintln!("bitternlead: cannot start the runtime: {e}");
            ExitCode::Failure
        }
    }
}

fn exit_code_of(result: Result<ExitCode, CommandError>) -> ExitCode {
    result.unwrap_or_else(|e| {
        eprintln!("bitternlead: {e}");
        e.exit_code()
    })
}
