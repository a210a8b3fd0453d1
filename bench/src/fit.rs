//! Linear fit of measured points, and printing of the result.

/// A measured point.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    /// The size of the system.
    pub size: f64,
    /// The value measured at that size.
    pub value: f64,
}

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// The growth of the value per unit of size.
    pub slope: f64,
    /// The largest distance of a point from the line, as a fraction of the largest value.
    pub residual: f64,
}

/// Fits a line to points.
pub fn fit(points: &[Point]) -> Line {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let sum_xy: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let intercept = mean_value - slope * mean_size;
    let largest = points.iter().map(|point| point.value.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |point: &Point| (point.value - intercept - slope * point.size).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
    Line { intercept, slope, residual }
}

/// Prints measured points and the line fitted to them. `of` names the unit of size.
pub fn print_slope(name: &str, unit: &str, of: &str, points: &[Point]) {
    let line = fit(points);
    println!("\n{name} ({unit}) by {of}");
    for point in points {
        println!("  {:>10.0}  {:>14.3}", point.size, point.value);
    }
    println!(
        "  line: {:.4} + {:.6} for each of {of}, residual {:.0}%",
        line.intercept,
        line.slope,
        line.residual * 100.0
    );
}
