//! Routes of plain services: which calls may be repeated.

use rhubarbrock_schema::release as schema;

/// Whether a call may be sent more than once, by the first route that matches it.
///
/// A call that matches no route must not be repeated. In a route, the method `*` matches every
/// method, and a path segment in braces matches any one non-empty segment.
///
/// ```
/// use rhubarbrock::route;
/// use rhubarbrock_schema::release;
///
/// let stock = release::Route {
///     method: "GET".to_owned(),
///     path: "stock/{item}".to_owned(),
///     repeatable: true,
/// };
/// let desk = release::Service { routes: vec![stock], ..Default::default() };
/// assert!(route::is_repeatable(&desk, "GET", "stock/gourds"));
/// assert!(!route::is_repeatable(&desk, "POST", "orders"));
/// ```
pub fn is_repeatable(service: &schema::Service, method: &str, path: &str) -> bool {
    let matching = service.routes.iter().find(|route| matches(route, method, path));
    matching.is_some_and(|route| route.repeatable)
}

fn matches(route: &schema::Route, method: &str, path: &str) -> bool {
    if route.method != "*" && route.method != method {
        return false;
    }
    let mut patterns = route.path.split('/');
    let mut segments = path.split('/');
    loop {
        match (patterns.next(), segments.next()) {
            (None, None) => return true,
            (Some(pattern), Some(segment)) if segment_matches(pattern, segment) => {}
            _ => return false,
        }
    }
}

fn segment_matches(pattern: &str, segment: &str) -> bool {
    let is_parameter = pattern.starts_with('{') && pattern.ends_with('}');
    if is_parameter { !segment.is_empty() } else { pattern == segment }
}
