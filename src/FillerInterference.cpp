#include "FillerInterference.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace sequoiakeel {

namespace {

/** Weight of the assumption without evidence, in observations of one whole
 * worker's share. Some seconds of readings outweigh it. */
constexpr double kPriorWeight = 0.15;

/** Share of their weight that observations keep at each update. */
constexpr double kRetained = 0.97;

/** Most filler images in one model; it bounds the time of an update. */
constexpr std::size_t kMaxImages = 40;

/** Solves a symmetric positive system by elimination with pivots. */
std::vector<double>
Solve(std::vector<std::vector<double>> aMatrix, std::vector<double> aRight)
{
  const std::size_t size = aRight.size();
  for (std::size_t i = 0; i < size; ++i) {
    std::size_t pivot = i;
    for (std::size_t row = i + 1; row < size; ++row) {
      if (std::abs(aMatrix[row][i]) > std::abs(aMatrix[pivot][i])) {
        pivot = row;
      }
    }
    std::swap(aMatrix[i], aMatrix[pivot]);
    std::swap(aRight[i], aRight[pivot]);
    for (std::size_t row = i + 1; row < size; ++row) {
      const double factor = aMatrix[row][i] / aMatrix[i][i];
      for (std::size_t column = i; column < size; ++column) {
        aMatrix[row][column] -= factor * aMatrix[i][column];
      }
      aRight[row] -= factor * aRight[i];
    }
  }
  std::vector<double> result(size, 0.0);
  for (std::size_t i = size; i-- > 0;) {
    double sum = aRight[i];
    for (std::size_t column = i + 1; column < size; ++column) {
      sum -= aMatrix[i][column] * result[column];
    }
    result[i] = sum / aMatrix[i][i];
  }
  return result;
}

} // namespace

std::size_t
FillerInterference::ColumnOf(Model& aModel, const std::string& aImage)
{
  const auto found = aModel.columns.find(aImage);
  if (found != aModel.columns.end()) {
    return found->second;
  }
  const std::size_t column = aModel.columns.size() + 1;
  aModel.columns.emplace(aImage, column);
  for (std::vector<double>& row : aModel.normal) {
    row.push_back(0);
  }
  aModel.normal.emplace_back(column + 1, 0.0);
  aModel.right.push_back(0);
  return column;
}

void
FillerInterference::Observe(const std::string& aServingImage,
                            double aTailMs,
                            std::span<const FillerLoad> aFillers)
{
  if (aTailMs <= 0) {
    return;
  }
  Model& model = this->models[aServingImage];
  if (model.normal.empty()) {
    model.normal = { { 0.0 } };
    model.right = { 0.0 };
  }
  if (model.baseMs == 0 || aTailMs < model.baseMs) {
    model.baseMs = aTailMs;
  }
  std::vector<std::pair<std::size_t, double>> features{ { 0, 1.0 } };
  for (const FillerLoad& filler : aFillers) {
    if (model.columns.size() >= kMaxImages &&
        !model.columns.contains(filler.image)) {
      continue;
    }
    features.emplace_back(this->ColumnOf(model, filler.image), filler.share);
  }
  const double pressure = this->Pressure(aServingImage, aTailMs);
  for (const auto& [row, left] : features) {
    model.right[row] += left * pressure;
    for (const auto& [column, right] : features) {
      model.normal[row][column] += left * right;
    }
  }
}

void
FillerInterference::Update()
{
  for (auto& [image, model] : this->models) {
    std::vector<std::vector<double>> matrix = model.normal;
    std::vector<double> right = model.right;
    // Keeps the system solvable before the first reading without fillers.
    constexpr double kLoadWeight = 1e-6;
    matrix[0][0] += kLoadWeight;
    for (std::size_t i = 1; i < right.size(); ++i) {
      matrix[i][i] += kPriorWeight;
      right[i] += kPriorWeight * kPriorEffect;
    }
    model.coefficients = Solve(std::move(matrix), std::move(right));
    for (std::size_t i = 0; i < model.right.size(); ++i) {
      model.right[i] *= kRetained;
      for (double& value : model.normal[i]) {
        value *= kRetained;
      }
    }
  }
}

double
FillerInterference::Pressure(const std::string& aServingImage,
                             double aTailMs) const
{
  const auto found = this->models.find(aServingImage);
  if (found == this->models.end() || aTailMs <= found->second.baseMs) {
    return 0;
  }
  return 1 - found->second.baseMs / aTailMs;
}

double
FillerInterference::Effect(const std::string& aServingImage,
                           const std::string& aFillerImage) const
{
  const auto model = this->models.find(aServingImage);
  if (model == this->models.end()) {
    return kPriorEffect;
  }
  const auto column = model->second.columns.find(aFillerImage);
  if (column == model->second.columns.end() ||
      column->second >= model->second.coefficients.size()) {
    return kPriorEffect;
  }
  return model->second.coefficients[column->second];
}

std::map<std::string, std::string>
FillerInterference::Summary() const
{
  std::map<std::string, std::string> result;
  for (const auto& [image, model] : this->models) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "base_ms:" << model.baseMs;
    if (!model.coefficients.empty()) {
      text << ",load:" << model.coefficients.front();
    }
    for (const auto& [filler, column] : model.columns) {
      if (column < model.coefficients.size()) {
        text << "," << filler << ":" << model.coefficients[column];
      }
    }
    result[image] = text.str();
  }
  return result;
}

} // namespace sequoiakeel
