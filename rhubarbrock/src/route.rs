//! Routes of plain services.

use rhubarbrock_schema::release as schema;

/// Whether a call may be sent more than once. One that matches no route may not.
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
    let mut wanted = route.path.split('/');
    let mut given = path.split('/');
    loop {
        match (wanted.next(), given.next()) {
            (None, None) => return true,
            (Some(wanted), Some(given)) if fits(wanted, given) => {}
            _ => return false,
        }
    }
}

fn fits(wanted: &str, given: &str) -> bool {
    let is_any = wanted.starts_with('{') && wanted.ends_with('}');
    if is_any { !given.is_empty() } else { wanted == given }
}
