"""The names that tests used before the checks of answers moved to `simulation`."""

from simulation import answer_consistency

OVER, REQUIRED = answer_consistency.FINAL_STATES, answer_consistency.REQUIRED_FIELDS
Answers, lacking = answer_consistency.AnswerHistory, answer_consistency.lacks_field
misfit, over_limit = answer_consistency.can_never_run, answer_consistency.is_over_limit
