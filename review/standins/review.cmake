# Adds the stand-ins of the review to the project's build; included at the end of the project's CMakeLists.txt.
set(REVIEW_DIR ${CMAKE_CURRENT_LIST_DIR})
function(add_review_world)
	add_executable(review_world
		${REVIEW_DIR}/main.cpp ${REVIEW_DIR}/world.cpp ${REVIEW_DIR}/store.cpp ${REVIEW_DIR}/minions.cpp
		${REVIEW_DIR}/scenarios.cpp
		${CMAKE_SOURCE_DIR}/tests/soak/soak_http.cpp)
	target_include_directories(review_world PRIVATE ${REVIEW_DIR} ${CMAKE_SOURCE_DIR}/tests/soak ${CMAKE_SOURCE_DIR}/platform)
	target_link_libraries(review_world PRIVATE glade_platform glade_standin)
endfunction()
cmake_language(DEFER CALL add_review_world)
