#include "FillerInterference.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace sequoiakeel {

namespace {

/** Weight of the prior in the regression, relative to one reading beside a
 * filler that uses a whole worker. It is low enough for a few readings under
 * changing load to outweigh the prior. */
constexpr double kPriorWeight = 0.15;

/** Factor by which the weight of observations decays at each update. */
constexpr double kDecayFactor = 0.98;

/** Limit of filler images in one model; bounds the time of an update. */
constexpr std::size_t kMaxImages = 40;

/** Time constant of the autocorrelation of the serving tasks' load: with a
 * period of 14 to 20 s the load moves by a tenth of its range in one second. */
constexpr double kLoadCorrelationSeconds = 9.5;

/** Readings of a group that are further apart count as independent. */
constexpr std::chrono::seconds kMaxReadingGap{ 3 };

/** Variance of a reading's measurement noise relative to the variance of the
 * serving tasks' load. It bounds the weight of readings in quick succession. */
constexpr double kReadingNoise = 0.02;

/** Regularization of the load coefficient; keeps the system solvable before the
 * first reading without fillers. */
constexpr double kLoadRidge = 1e-6;

/** Regularization of the regression that yields the evidence for other cells.
 * It is much smaller than kPriorWeight, because the receiving cells add the
 * prior themselves. */
constexpr double kEvidenceRidge = 0.02;

/** Evidence of lower weight is not published. */
constexpr double kMinEvidence = 0.02;

/** Solves a symmetric positive definite system by Gaussian elimination with
 * partial pivoting. */
std::vector<double>
SolveSystem(std::vector<std::vector<double>> aMatrix,
            std::vector<double> aRight)
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

/** Number of passes over all unknowns; bounds the time of an update. */
constexpr int kDescentPasses = 40;

/** Solves a least-squares problem, given by its normal equations, under the
 * condition that all unknowns but the first are not negative: fillers can only
 * slow serving tasks down. Without the condition, an effect that is
 * overestimated for one image makes the estimate of another one negative.
 * Coordinate descent (Franc et al., 2005). */
std::vector<double>
SolveNonNegative(const std::vector<std::vector<double>>& aMatrix,
                 const std::vector<double>& aRight)
{
  std::vector<double> result(aRight.size(), 0.0);
  for (int pass = 0; pass < kDescentPasses; ++pass) {
    for (std::size_t i = 0; i < result.size(); ++i) {
      double rest = aRight[i];
      for (std::size_t j = 0; j < result.size(); ++j) {
        rest -= j == i ? 0 : aMatrix[i][j] * result[j];
      }
      const double value = rest / aMatrix[i][i];
      result[i] = i == 0 ? value : std::max(0.0, value);
    }
  }
  return result;
}

} // namespace

FillerInterference::Model&
FillerInterference::ModelOf(const std::string& aServingImage)
{
  Model& model = this->models[aServingImage];
  if (model.normalMatrix.empty()) {
    model.normalMatrix = { { 0.0 } };
    model.rightSide = { 0.0 };
  }
  return model;
}

std::optional<std::size_t>
FillerInterference::ColumnOf(Model& aModel, const std::string& aImage)
{
  const auto found = aModel.columns.find(aImage);
  if (found != aModel.columns.end()) {
    return found->second;
  }
  if (aModel.columns.size() >= kMaxImages) {
    return std::nullopt;
  }
  const std::size_t column = aModel.columns.size() + 1;
  aModel.columns.emplace(aImage, column);
  for (std::vector<double>& row : aModel.normalMatrix) {
    row.push_back(0);
  }
  aModel.normalMatrix.emplace_back(column + 1, 0.0);
  aModel.rightSide.push_back(0);
  return column;
}

void
FillerInterference::Observe(const InterferenceReading& aReading)
{
  if (aReading.tailMs <= 0) {
    return;
  }
  const std::string image(aReading.servingImage);
  Model& model = this->ModelOf(image);
  if (model.baseMs == 0 || aReading.tailMs < model.baseMs) {
    model.baseMs = aReading.tailMs;
  }
  const double logTail = std::log(aReading.tailMs);
  PreviousReading& before = this->previous[std::string(aReading.group)];
  const Duration gap = aReading.at - before.at;
  const bool compared = gap > Duration::zero() && gap < kMaxReadingGap;
  const double correlation =
    compared ? std::exp(-std::chrono::duration<double>(gap).count() /
                        kLoadCorrelationSeconds)
             : 0;
  std::map<std::size_t, double> features{ { 0, 1 - correlation } };
  for (const FillerLoad& filler : aReading.fillers) {
    if (const auto column = this->ColumnOf(model, filler.image)) {
      features[*column] += filler.share;
    }
  }
  if (compared) {
    for (const FillerLoad& filler : before.fillers) {
      if (const auto column = this->ColumnOf(model, filler.image)) {
        features[*column] -= correlation * filler.share;
      }
    }
  }
  const double change = logTail - correlation * before.logTail;
  const double weight = 1 / (1 - correlation * correlation + kReadingNoise);
  for (const auto& [row, left] : features) {
    model.rightSide[row] += weight * left * change;
    for (const auto& [column, right] : features) {
      model.normalMatrix[row][column] += weight * left * right;
    }
  }
  before.at = aReading.at;
  before.logTail = logTail;
  before.fillers = { aReading.fillers.begin(), aReading.fillers.end() };
}

std::map<std::string, std::map<std::string, EffectEvidence>>
FillerInterference::CombinedPeerEvidence() const
{
  std::map<std::string, std::map<std::string, EffectEvidence>> sum;
  for (const auto& [source, evidence] : this->peerEvidence) {
    for (const EffectEvidence& one : evidence.effects) {
      EffectEvidence& total = sum[one.servingImage][one.fillerImage];
      const double weight = total.weight + one.weight;
      if (weight <= 0) {
        continue;
      }
      total.effect =
        (total.effect * total.weight + one.effect * one.weight) / weight;
      total.weight = weight;
    }
  }
  return sum;
}

void
FillerInterference::Solve(
  Model& aModel,
  const std::map<std::string, EffectEvidence>& aPeerEffects)
{
  for (const auto& [image, evidence] : aPeerEffects) {
    this->ColumnOf(aModel, image);
  }
  std::vector<std::vector<double>> matrix = aModel.normalMatrix;
  std::vector<double> right = aModel.rightSide;
  matrix[0][0] += kLoadRidge;
  for (std::size_t i = 1; i < right.size(); ++i) {
    matrix[i][i] += kPriorWeight;
    right[i] += kPriorWeight * kPriorEffect;
  }
  for (const auto& [image, evidence] : aPeerEffects) {
    if (const auto column = this->ColumnOf(aModel, image)) {
      matrix[*column][*column] += evidence.weight;
      right[*column] += evidence.weight * evidence.effect;
    }
  }
  aModel.coefficients = SolveNonNegative(matrix, right);
}

void
FillerInterference::Update(TimePoint aNow)
{
  const auto peerEffects = this->CombinedPeerEvidence();
  for (const auto& [image, evidence] : peerEffects) {
    this->ModelOf(image);
  }
  for (auto& [image, model] : this->models) {
    const auto known = peerEffects.find(image);
    this->Solve(model,
                known == peerEffects.end()
                  ? std::map<std::string, EffectEvidence>()
                  : known->second);
    for (std::size_t i = 0; i < model.rightSide.size(); ++i) {
      model.rightSide[i] *= kDecayFactor;
      for (double& value : model.normalMatrix[i]) {
        value *= kDecayFactor;
      }
    }
  }
  for (auto& [source, evidence] : this->peerEvidence) {
    for (EffectEvidence& one : evidence.effects) {
      one.weight *= kDecayFactor;
    }
  }
  std::erase_if(this->previous, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kMaxReadingGap;
  });
}

InterferenceEvidence
FillerInterference::Evidence() const
{
  InterferenceEvidence result;
  for (const auto& [image, model] : this->models) {
    std::vector<std::vector<double>> matrix = model.normalMatrix;
    matrix[0][0] += kLoadRidge;
    for (std::size_t i = 1; i < matrix.size(); ++i) {
      matrix[i][i] += kEvidenceRidge;
    }
    const std::vector<double> effects = SolveSystem(matrix, model.rightSide);
    for (const auto& [filler, column] : model.columns) {
      std::vector<double> unit(matrix.size(), 0.0);
      unit[column] = 1;
      const double variance = SolveSystem(matrix, std::move(unit))[column];
      const double weight = 1 / variance - kEvidenceRidge;
      if (weight >= kMinEvidence) {
        result.effects.push_back(
          EffectEvidence{ image, filler, effects[column], weight });
      }
    }
  }
  return result;
}

void
FillerInterference::SetPeerEvidence(const std::string& aSource,
                                    InterferenceEvidence aEvidence)
{
  this->peerEvidence[aSource] = std::move(aEvidence);
}

double
FillerInterference::Load(const std::string& aServingImage, double aTailMs) const
{
  const auto found = this->models.find(aServingImage);
  if (found == this->models.end() || found->second.baseMs == 0) {
    return 1;
  }
  return aTailMs <= found->second.baseMs ? 0
                                         : 1 - found->second.baseMs / aTailMs;
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
