//! Fits least-squares lines to measurements and prints both as tables.

/// A line fitted to measured points.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Line {
    /// Value at 0.
    pub(crate) base: f64,
    /// Increase per unit.
    pub(crate) slope: f64,
    /// Largest distance of a point from the line, in percent of the largest value.
    pub(crate) residual_percent: f64,
}

/// Fits the line with the least sum of squared vertical distances from `points`.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_of_products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = sum_of_products / sum_of_squares;
    let base = mean_y - slope * mean_x;
    let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
    let residual_percent = points.iter().map(distance).fold(0.0, f64::max) / largest * 100.0;
    Line { base, slope, residual_percent }
}

/// A column of a table: the values of one figure at each size.
pub(crate) struct Column {
    pub(crate) name: &'static str,
    pub(crate) values: Vec<f64>,
}

/// Prints the values at each size, then the line fitted to each column.
pub(crate) fn print(title: &str, unit: &str, sizes: &[u32], columns: &[Column]) {
    println!("\n### {title}\n");
    let names: Vec<&str> = columns.iter().map(|column| column.name).collect();
    println!("| {unit} | {} |", names.join(" | "));
    println!("|---:|{}", "---:|".repeat(columns.len()));
    for (index, size) in sizes.iter().enumerate() {
        let cells: Vec<String> =
            columns.iter().map(|column| format!("{}", FourDigits(column.values[index]))).collect();
        println!("| {size} | {} |", cells.join(" | "));
    }
    let lines: Vec<Line> = columns
        .iter()
        .map(|column| {
            let points: Vec<(f64, f64)> = sizes
                .iter()
                .zip(&column.values)
                .map(|(&size, &value)| (f64::from(size), value))
                .collect();
            fit_line(&points)
        })
        .collect();
    let row = |name: &str, value: &dyn Fn(&Line) -> f64| {
        let cells: Vec<String> =
            lines.iter().map(|line| format!("{}", FourDigits(value(line)))).collect();
        println!("| {name} | {} |", cells.join(" | "));
    };
    row("at 0", &|line| line.base);
    row(&format!("slope per {unit}"), &|line| line.slope);
    row("residual, %", &|line| line.residual_percent);
}

/// Displays a number with about four digits.
struct FourDigits(f64);

impl std::fmt::Display for FourDigits {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let size = self.0.abs();
        let digits = match size {
            _ if size >= 1_000.0 => 0,
            _ if size >= 100.0 => 1,
            _ if size >= 1.0 => 2,
            _ => 4,
        };
        write!(formatter, "{:.*}", digits, self.0)
    }
}
