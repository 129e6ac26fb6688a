#include "coordination/stop_admission.h"

bool
stop_admits(const struct stop_request *r)
{
	if (r->longest_us <= r->left_us)
		return true;
	return r->stream && r->likely_us > 0 && r->likely_us <= r->left_us;
}
