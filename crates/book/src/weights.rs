//! Weights of a split as whole numbers, which the weighted round-robin counts with.

use chestnut_unit::Number;

/// Most decimal places of weights that are kept exactly.
const MAX_PLACES: i32 = 9;
/// The greatest weight where they can't be kept exactly: a share of all is off by less than a
/// millionth, and a sum of many still fits.
const GREATEST: f64 = 1e9;
/// Relative error up to which a product counts as whole.
const TOLERANCE: f64 = 1e-12;

/// Returns whole numbers in the proportions of `weights`: these themselves if they are whole,
/// else a power of ten of them, or if that is too large, parts of the greatest. A weight above 0
/// stays above 0.
#[must_use]
pub fn whole_weights(weights: &[Number]) -> Vec<u32> {
    let mut factors = (0..=MAX_PLACES).map(|places| 10f64.powi(places));
    let exact = factors.find_map(|factor| {
        let weights = weights.iter();
        let products = weights.map(|weight| whole_product(weight.as_f64(), factor));
        products.collect()
    });
    exact.unwrap_or_else(|| parts_of_greatest(weights))
}

/// Returns the product of a weight and a factor if that is whole and fits.
fn whole_product(weight: f64, factor: f64) -> Option<u32> {
    let product = weight * factor;
    let whole = product.round();
    let is_whole = (product - whole).abs() <= product * TOLERANCE;
    // The cast is exact within the bounds.
    (is_whole && whole <= f64::from(u32::MAX)).then_some(whole as u32)
}

/// Returns the weights as parts of the greatest.
fn parts_of_greatest(weights: &[Number]) -> Vec<u32> {
    let weights = weights.iter().map(|weight| weight.as_f64());
    let greatest = weights.clone().fold(0.0, f64::max);
    let part = |weight: f64| match weight > 0.0 {
        true => ((weight / greatest * GREATEST).round() as u32).max(1),
        false => 0,
    };
    weights.map(part).collect()
}
