//! Checks of single routes.

use super::model::{ConfigDocument, Field, RouteSpec};
use crate::findings::Findings;

pub(super) fn check(document: &ConfigDocument, warnings: &mut Findings) {
    for route in &document.routes {
        check_host(route, document.field_name, warnings);
        check_prefix(route, document.field_name, warnings);
        check_targets(route, document.field_name, warnings);
        check_times(route, document.field_name, warnings);
    }
}

type FieldName = fn(Field) -> &'static str;

/// Hosts are compared without case and without the port of the request, so that upper case is
/// reachable and a port is not.
fn check_host(route: &RouteSpec, name: FieldName, warnings: &mut Findings) {
    let host = name(Field::Host);
    let is_impossible = |c: char| c.is_whitespace() || c.is_control() || c == '/' || !c.is_ascii();
    if route.host.contains(is_impossible) {
        let text = format!(
            "{host} {:?} never matches: no request can name such a host; write the host name alone, \
             in ASCII",
            route.host
        );
        warnings.add(route.place.clone(), text);
    } else if route.host_without_port != route.host {
        let text = format!(
            "{host} {:?} never matches: the port of a request is removed before hosts are compared; \
             write {:?}",
            route.host, route.host_without_port
        );
        warnings.add(route.place.clone(), text);
    }
}

fn check_prefix(route: &RouteSpec, name: FieldName, warnings: &mut Findings) {
    let field = name(Field::Prefix);
    let prefix = route.prefix.as_str();
    if prefix.contains(|c: char| c.is_whitespace() || c.is_control() || c == '?' || c == '#') {
        let text = format!(
            "{field} {prefix:?} never matches: paths contain no white space and end before '?' and \
             '#'; percent-encode these characters or remove them"
        );
        warnings.add(route.place.clone(), text);
    } else if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let trimmed = prefix.trim_matches('/');
        let expected = if trimmed.is_empty() { "/".into() } else { format!("/{trimmed}/") };
        let text = format!(
            "{field} {prefix:?} never matches: paths are matched at slashes; write {expected:?}"
        );
        warnings.add(route.place.clone(), text);
    }
}

fn check_targets(route: &RouteSpec, name: FieldName, warnings: &mut Findings) {
    let targets = name(Field::Targets);
    // If all weights are 0, control rejects the route, which is an error already.
    if route.targets.iter().any(|(_, weight)| *weight > 0) {
        for (service, _) in route.targets.iter().filter(|(_, weight)| *weight == 0) {
            let text = format!(
                "{targets}: service {service} has weight 0 and gets no request; remove it or give it \
                 a weight"
            );
            warnings.add(route.place.clone(), text);
        }
    }
    if let Some(ignored) = &route.ignored_service {
        let text = format!(
            "{} {ignored} is ignored because {targets} is there; remove one of them",
            name(Field::Service)
        );
        warnings.add(route.place.clone(), text);
    }
}

fn check_times(route: &RouteSpec, name: FieldName, warnings: &mut Findings) {
    let timeout = name(Field::Timeout);
    let limits = [
        (Field::Objective, route.objective_ms.unwrap_or(0)),
        (Field::PauseLimit, route.pause_limit_ms),
    ];
    // A timeout of 0 is an error of its own.
    for (field, value) in limits.into_iter().filter(|_| route.timeout_ms > 0) {
        if value > route.timeout_ms {
            let text = format!(
                "{} {value} is above {timeout} {}: the request times out first; lower it or raise \
                 {timeout}",
                name(field),
                route.timeout_ms
            );
            warnings.add(route.place.clone(), text);
        }
    }
    if route.max_attempts > 1 && !route.is_idempotent {
        let text = format!(
            "{} {} has little effect: {} {:?} allows a second send only if the first certainly did \
             not run; set 1, or declare that the requests may be repeated",
            name(Field::MaxAttempts),
            route.max_attempts,
            name(Field::Kind),
            route.kind
        );
        warnings.add(route.place.clone(), text);
    }
}
