// Public header of the base library: result codes, ids, addresses, time,
// results with a reason, logging and digests. The ring that joins threads is in
// base/ring.h: oneTBB's headers would triple what each file reads.
#ifndef TARRAGONDALE_BASE_H_
#define TARRAGONDALE_BASE_H_

#include "tarragondale/base/address.h"
#include "tarragondale/base/digest.h"
#include "tarragondale/base/ids.h"
#include "tarragondale/base/log.h"
#include "tarragondale/base/result.h"
#include "tarragondale/base/result_code.h"
#include "tarragondale/base/time.h"

#endif  // TARRAGONDALE_BASE_H_
