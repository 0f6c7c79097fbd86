// Public header of the store library: client of the platform's key-value
// service (etcd v3, JSON mapping) and the configuration that is kept in it.
#ifndef TARRAGONDALE_STORE_H_
#define TARRAGONDALE_STORE_H_

#include "tarragondale/store/client.h"
#include "tarragondale/store/configuration_store.h"
#include "tarragondale/store/follower.h"
#include "tarragondale/store/http_call.h"
#include "tarragondale/store/messages.h"

#endif  // TARRAGONDALE_STORE_H_
