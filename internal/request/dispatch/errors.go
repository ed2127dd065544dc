package dispatch

import "errors"

var errLeaseLapsed = errors.New("lease lapsed before the send")
